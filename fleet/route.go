package fleet

import (
	"strings"
	"time"
)

// RouteKind determines how often a route's requests may run.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "Idempotent"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "Once"
	// RouteStream requests are answered with an event stream. They run at most
	// once unless the route is resumable.
	RouteStream RouteKind = "Stream"
)

// Route maps the requests of a host name and path prefix to services.
type Route struct {
	Name string
	// HostName is matched against the Host header without its port.
	HostName string
	// PathPrefix begins and ends with a slash. The longest matching prefix wins.
	PathPrefix string
	Kind       RouteKind
	// Split distributes the requests over services by weight.
	Split []WeightedService
	// Attempts is the maximum number of targets that a request is tried on.
	Attempts int
	// Priority ranks requests; 0 has precedence.
	Priority int
	// Objective is the time to first byte that callers expect.
	Objective time.Duration
	// Pause is the maximum pause between events that callers expect.
	Pause time.Duration
	// Timeout is the maximum time that a request is kept waiting.
	Timeout time.Duration
	// Public routes require no workspace key.
	Public bool
	// Resumable streams can continue on another target after the last event.
	Resumable bool
}

// WeightedService is a service and its weight in a route's split.
type WeightedService struct {
	Service string
	Weight  int
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// ServiceFor returns the service for a point, such as a hash, that is distributed
// uniformly over all values. It returns "" if the weights add up to 0.
func (r *Route) ServiceFor(point uint64) string {
	total := uint64(0)
	for _, weighted := range r.Split {
		total += uint64(weighted.Weight)
	}
	if total == 0 {
		return ""
	}
	offset := point % total
	for _, weighted := range r.Split {
		if offset < uint64(weighted.Weight) {
			return weighted.Service
		}
		offset -= uint64(weighted.Weight)
	}
	return ""
}

// RequestLimits bounds callers' requests; 0 applies the host's own bound.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is the maximum time for sending a header, IdleTime the maximum
	// time that a connection may be idle between requests.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Table is an index of a fleet's routes, services and workspaces. It is safe for
// concurrent use.
type Table struct {
	fleet    *Fleet
	routes   map[string]map[string]*Route
	keys     map[string]*Workspace
	services map[string]*Service
}

// NewTable indexes a fleet, which must not be modified afterwards.
func NewTable(f *Fleet) *Table {
	t := &Table{
		fleet:    f,
		routes:   map[string]map[string]*Route{},
		keys:     map[string]*Workspace{},
		services: map[string]*Service{},
	}
	for i := range f.Routes {
		route := &f.Routes[i]
		byPrefix := t.routes[route.HostName]
		if byPrefix == nil {
			byPrefix = map[string]*Route{}
			t.routes[route.HostName] = byPrefix
		}
		byPrefix[route.PathPrefix] = route
	}
	for i := range f.Workspaces {
		for _, key := range f.Workspaces[i].Keys {
			t.keys[key] = &f.Workspaces[i]
		}
	}
	for i := range f.Services {
		t.services[f.Services[i].Name] = &f.Services[i]
	}
	return t
}

// Fleet returns the indexed fleet.
func (t *Table) Fleet() *Fleet { return t.fleet }

// Route returns the route for a Host header and a path, or nil if there is none.
func (t *Table) Route(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	byPrefix := t.routes[strings.ToLower(host)]
	if byPrefix == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := byPrefix[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// Workspace returns the workspace that has the key, or nil if there is none.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }
