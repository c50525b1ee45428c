package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"comfreytiller.dev/common/jsonc"
)

func (r *reader) route(value *hujson.Value, at *jsonc.FieldPath) Route {
	route := Route{Attempts: DefaultAttempts, Timeout: DefaultTotal}
	kind := ""
	r.Object(
		value, at,
		jsonc.Field{Name: "Name", Required: true, Read: jsonc.Name(&r.Reader, &route.Name)},
		jsonc.Field{Name: "HostName", Required: true, Read: jsonc.Name(&r.Reader, &route.HostName)},
		jsonc.Field{Name: "PathPrefix", Required: true, Read: jsonc.String(&r.Reader, &route.PathPrefix)},
		jsonc.Field{Name: "Kind", Required: true, Read: jsonc.String(&r.Reader, &kind)},
		jsonc.Field{Name: "Split", Required: true, Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			r.List(value, at, maxShares, func(value *hujson.Value, at *jsonc.FieldPath) {
				route.Split = append(route.Split, r.share(value, at))
			})
		}},
		jsonc.Field{Name: "Attempts", Read: jsonc.Integer(&r.Reader, &route.Attempts, 1, maxAttempts)},
		jsonc.Field{Name: "Priority", Read: jsonc.Integer(&r.Reader, &route.Priority, 0, maxPriority)},
		jsonc.Field{Name: "Objective", Read: jsonc.Duration(&r.Reader, &route.Objective, 0, maxTotal)},
		jsonc.Field{Name: "Pause", Read: jsonc.Duration(&r.Reader, &route.Pause, 0, maxTotal)},
		jsonc.Field{Name: "Timeout", Read: jsonc.Duration(&r.Reader, &route.Timeout, time.Millisecond, maxTotal)},
		jsonc.Field{Name: "Public", Read: jsonc.Boolean(&r.Reader, &route.Public)},
		jsonc.Field{Name: "Resumable", Read: jsonc.Boolean(&r.Reader, &route.Resumable)},
	)
	route.Kind = RouteKind(kind)
	return route
}

func (r *reader) share(value *hujson.Value, at *jsonc.FieldPath) Share {
	share := Share{Weight: 1}
	r.Object(
		value, at,
		jsonc.Field{Name: "Service", Required: true, Read: jsonc.Name(&r.Reader, &share.Service)},
		jsonc.Field{Name: "Weight", Read: jsonc.Integer(&r.Reader, &share.Weight, 0, maxWeight)},
	)
	return share
}

func (r *reader) requests(value *hujson.Value, at *jsonc.FieldPath, limits *RequestLimits) {
	r.Object(
		value, at,
		jsonc.Field{Name: "HeaderBytes", Read: jsonc.Integer(&r.Reader, &limits.HeaderBytes, 1, maxHeaderBytes)},
		jsonc.Field{Name: "BodyBytes", Read: jsonc.Integer(&r.Reader, &limits.BodyBytes, 1, maxBodyBytes)},
		jsonc.Field{Name: "HeaderTime", Read: jsonc.Duration(&r.Reader, &limits.HeaderTime, minCallerTime, maxTotal)},
		jsonc.Field{Name: "IdleTime", Read: jsonc.Duration(&r.Reader, &limits.IdleTime, minCallerTime, maxTotal)},
	)
}

func (c *checker) routes() {
	for _, fault := range CheckRoutes(c.fleet) {
		c.report(fault.Path, fault.Message)
	}
}

// CheckRoutes returns what is wrong with a fleet's routes and workspace keys,
// with the paths of the fields but no places in a text. It serves every language
// in which operators write a fleet.
func CheckRoutes(f *Fleet) []Fault {
	var faults []Fault
	faultf := func(path, format string, arguments ...any) {
		faults = append(faults, Fault{Path: path, Message: fmt.Sprintf(format, arguments...)})
	}
	services := make(map[string]bool, len(f.Services))
	for i := range f.Services {
		services[f.Services[i].Name] = true
	}
	places := make(map[[2]string]string, len(f.Routes))
	for i := range f.Routes {
		route, path := &f.Routes[i], fmt.Sprintf("Routes[%d]", i)
		place := [2]string{route.HostName, route.PathPrefix}
		if other, taken := places[place]; taken {
			faultf(path+".PathPrefix", "route %q has the same host name and prefix; each pair is accepted once", other)
		}
		places[place] = route.Name
		checkRoute(route, path, services, faultf)
	}
	holders := map[string]string{}
	for i, workspace := range f.Workspaces {
		for j, key := range workspace.Keys {
			if other, taken := holders[key]; taken && other != workspace.Name {
				faultf(fmt.Sprintf("Workspaces[%d].Keys[%d]", i, j), "workspace %q holds this key; each key is accepted once", other)
			}
			holders[key] = workspace.Name
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
	for j, share := range route.Split {
		total += share.Weight
		if !services[share.Service] {
			faultf(fmt.Sprintf("%s.Split[%d].Service", path, j), "there is no service %q; accepted are the names under Services", share.Service)
		}
		if share.Weight < 0 {
			faultf(fmt.Sprintf("%s.Split[%d].Weight", path, j), "the weight %d is negative", share.Weight)
		}
	}
	if total <= 0 {
		faultf(path+".Split", "the weights add up to 0; accepted is more")
	}
}
