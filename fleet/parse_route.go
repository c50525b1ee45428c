package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"comfreytiller.dev/common/jsonc"
)

func (r *reader) readRoute(value *hujson.Value, at *jsonc.FieldPath) Route {
	route := Route{Attempts: DefaultAttempts, Timeout: DefaultTotal}
	kind := ""
	r.Object(
		value, at,
		jsonc.Field{Name: "Name", Required: true, Read: jsonc.Name(&r.Reader, &route.Name)},
		jsonc.Field{Name: "HostName", Required: true, Read: jsonc.Name(&r.Reader, &route.HostName)},
		jsonc.Field{Name: "PathPrefix", Required: true, Read: jsonc.String(&r.Reader, &route.PathPrefix)},
		jsonc.Field{Name: "Kind", Required: true, Read: jsonc.String(&r.Reader, &kind)},
		jsonc.Field{Name: "Split", Required: true, Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			r.List(value, at, maxSplitEntries, func(value *hujson.Value, at *jsonc.FieldPath) {
				route.Split = append(route.Split, r.readWeightedService(value, at))
			})
		}},
		jsonc.Field{Name: "Attempts", Read: jsonc.Integer(&r.Reader, &route.Attempts, 1, maxAttempts)},
		jsonc.Field{Name: "Priority", Read: jsonc.Integer(&r.Reader, &route.Priority, 0, maxPriority)},
		jsonc.Field{Name: "Objective", Read: jsonc.Duration(&r.Reader, &route.Objective, 0, maxTotalTimeout)},
		jsonc.Field{Name: "Pause", Read: jsonc.Duration(&r.Reader, &route.Pause, 0, maxTotalTimeout)},
		jsonc.Field{Name: "Timeout", Read: jsonc.Duration(&r.Reader, &route.Timeout, time.Millisecond, maxTotalTimeout)},
		jsonc.Field{Name: "Public", Read: jsonc.Boolean(&r.Reader, &route.Public)},
		jsonc.Field{Name: "Resumable", Read: jsonc.Boolean(&r.Reader, &route.Resumable)},
	)
	route.Kind = RouteKind(kind)
	return route
}

func (r *reader) readWeightedService(value *hujson.Value, at *jsonc.FieldPath) WeightedService {
	weighted := WeightedService{Weight: 1}
	r.Object(
		value, at,
		jsonc.Field{Name: "Service", Required: true, Read: jsonc.Name(&r.Reader, &weighted.Service)},
		jsonc.Field{Name: "Weight", Read: jsonc.Integer(&r.Reader, &weighted.Weight, 0, maxSplitWeight)},
	)
	return weighted
}

func (r *reader) readRequests(value *hujson.Value, at *jsonc.FieldPath, limits *RequestLimits) {
	r.Object(
		value, at,
		jsonc.Field{Name: "HeaderBytes", Read: jsonc.Integer(&r.Reader, &limits.HeaderBytes, 1, maxHeaderBytes)},
		jsonc.Field{Name: "BodyBytes", Read: jsonc.Integer(&r.Reader, &limits.BodyBytes, 1, maxBodyBytes)},
		jsonc.Field{Name: "HeaderTime", Read: jsonc.Duration(&r.Reader, &limits.HeaderTime, minCallerTimeout, maxTotalTimeout)},
		jsonc.Field{Name: "IdleTime", Read: jsonc.Duration(&r.Reader, &limits.IdleTime, minCallerTimeout, maxTotalTimeout)},
	)
}

func (c *checker) checkRoutes() {
	for _, fault := range CheckRoutes(c.fleet) {
		c.report(fault.Path, fault.Message)
	}
}

// CheckRoutes returns the faults in a fleet's routes and workspace keys. They have
// the paths of the fields but no line and column, so that the check works for every
// configuration format.
func CheckRoutes(f *Fleet) []Fault {
	var faults []Fault
	faultf := func(path, format string, arguments ...any) {
		faults = append(faults, Fault{Path: path, Message: fmt.Sprintf(format, arguments...)})
	}
	services := make(map[string]bool, len(f.Services))
	for i := range f.Services {
		services[f.Services[i].Name] = true
	}
	names := make(map[[2]string]string, len(f.Routes))
	for i := range f.Routes {
		route, path := &f.Routes[i], fmt.Sprintf("Routes[%d]", i)
		address := [2]string{route.HostName, route.PathPrefix}
		if other, taken := names[address]; taken {
			faultf(path+".PathPrefix", "route %q has the same host name and prefix; each pair is accepted once", other)
		}
		names[address] = route.Name
		checkRoute(route, path, services, faultf)
	}
	keyOwners := map[string]string{}
	for i, workspace := range f.Workspaces {
		for j, key := range workspace.Keys {
			if other, taken := keyOwners[key]; taken && other != workspace.Name {
				faultf(fmt.Sprintf("Workspaces[%d].Keys[%d]", i, j), "workspace %q holds this key; each key is accepted once", other)
			}
			keyOwners[key] = workspace.Name
		}
	}
	return faults
}

func checkRoute(route *Route, path string, services map[string]bool, faultf func(string, string, ...any)) {
	if !slices.Contains([]RouteKind{RouteIdempotent, RouteOnce, RouteStream}, route.Kind) {
		faultf(path+".Kind", "%q is not a kind of route; accepted are Idempotent, Once and Stream", route.Kind)
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		faultf(path+".PathPrefix", "%q does not begin and end with a slash", route.PathPrefix)
	}
	if route.Timeout <= 0 {
		faultf(path+".Timeout", "the time-out is 0; accepted is more")
	}
	total := 0
	for j, weighted := range route.Split {
		total += weighted.Weight
		if !services[weighted.Service] {
			faultf(fmt.Sprintf("%s.Split[%d].Service", path, j), "there is no service %q; accepted are the names under Services", weighted.Service)
		}
		if weighted.Weight < 0 {
			faultf(fmt.Sprintf("%s.Split[%d].Weight", path, j), "the weight %d is negative", weighted.Weight)
		}
	}
	if total <= 0 {
		faultf(path+".Split", "the weights add up to 0; accepted is more")
	}
}
