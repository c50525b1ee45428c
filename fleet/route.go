package fleet

import (
	"strings"
	"time"
)

// RouteKind says what may be done with a request of a route.
type RouteKind string

// The kinds of route.
const (
	// RouteIdempotent: a request may run more than once.
	RouteIdempotent RouteKind = "Idempotent"
	// RouteOnce: a request runs at most once.
	RouteOnce RouteKind = "Once"
	// RouteStream: the answer is an event stream; a request runs at most once
	// unless the route is Resumable.
	RouteStream RouteKind = "Stream"
)

// Route sends the requests of a host name and path prefix to services.
type Route struct {
	Name string
	// HostName is the callers' Host header, without a port.
	HostName string
	// PathPrefix begins and ends with a slash. The longest one that begins a
	// request's path wins.
	PathPrefix string
	Kind       RouteKind
	// Split shares the requests between services by weight.
	Split []WeightedService
	// Attempts is the largest number of targets that may run one request.
	Attempts int
	// Priority ranks requests; 0 goes first.
	Priority int
	// Objective is the time to the answer's first byte that callers expect.
	Objective time.Duration
	// Pause is the longest pause between events that callers expect.
	Pause time.Duration
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Public requests need no workspace key.
	Public bool
	// Resumable streams may go on at another target after the last event.
	Resumable bool
}

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// ServiceFor picks the service for a point, which is uniform over all values.
func (r *Route) ServiceFor(point uint64) string {
	total := uint64(0)
	for _, share := range r.Split {
		total += uint64(share.Weight)
	}
	if total == 0 {
		return ""
	}
	at := point % total
	for _, share := range r.Split {
		if at < uint64(share.Weight) {
			return share.Service
		}
		at -= uint64(share.Weight)
	}
	return ""
}

// RequestLimits bound what callers may send; 0 leaves a bound to the host.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is how long a caller may take to send a header, IdleTime how
	// long a connection may stay without a request.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Table finds routes, services and workspaces of one fleet without a search
// through its lists. It is safe for concurrent use.
type Table struct {
	fleet    *Fleet
	routes   map[string]map[string]*Route
	keys     map[string]*Workspace
	services map[string]*Service
}

// NewTable indexes a fleet, which must not change any more.
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

// Route returns the route of a Host header and a path, nil for none.
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

// Workspace returns the workspace that holds the key, nil for none.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// Service returns the service of that name, nil for none.
func (t *Table) Service(name string) *Service { return t.services[name] }
