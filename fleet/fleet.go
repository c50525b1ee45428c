// Package fleet holds the operators' fleet configuration: the services and their
// dependencies, the workspaces that use them and the placement requirements.
//
// The configuration is JSON with comments and keys in Pascal case. It is parsed and
// validated as a whole; every fault is reported with its line and column.
//
// # Usage
//
//	data, err := os.ReadFile("agence.fleet.jsonc")
//	agence, err := fleet.Parse(data)
package fleet

import "time"

// Fleet is one version of the fleet configuration.
type Fleet struct {
	Name           string
	FailureDomains []string
	Services       []Service
	Workspaces     []Workspace
	Store          Store
	// Routes map host names and paths to services, for requests that do not name
	// their service.
	Routes []Route
	// Requests limits the size and duration of callers' requests.
	Requests RequestLimits
}

// Service is a set of targets that offer the same calls.
type Service struct {
	Name string
	// Kind is KindModel for model engines and KindPlain for other services.
	Kind string
	// Model, Version and Adapters are what a model engine must have loaded.
	Model    string
	Version  string
	Adapters []string
	// DependsOn lists the services that this one needs in order to serve.
	DependsOn []string
	Calls     []Call
	Limits    Limits
	WarmUp    WarmUp
	Placement Placement
	// Timeouts limit the phases of a call.
	Timeouts Timeouts
	// MovesCache is set if the engines support cache transfer: they can copy KV
	// cache from each other when a call asks for it.
	MovesCache bool
	// MemoryTokens is the number of tokens of prompts and responses that fit in the memory
	// of an engine; 0 for unknown.
	MemoryTokens int
}

// Call is one operation of a service.
type Call struct {
	Name string
	// Idempotent calls may be retried. All others run at most once.
	Idempotent bool
	// Priority is passed on to the engines. Higher values go first, unlike in
	// Route and Workspace, where 0 goes first.
	Priority int
	// Stream is set if the response is an event stream.
	Stream bool
	// StopsWithCaller is set if a call that is not idempotent is canceled on its
	// target when the caller disconnects. Idempotent calls always are.
	StopsWithCaller bool
}

// Limits limit the load of a service's targets.
type Limits struct {
	// InFlightPerTarget is the maximum number of requests in flight on a target.
	InFlightPerTarget int
	// LoadFactor is c in the load bound ceil(c × mean), the maximum number of
	// requests in flight on a target. The mean is over the service's targets.
	LoadFactor float64
	// Queue is the maximum number of queued requests per workspace.
	Queue int
	// QueueWait is the maximum time that a request waits in the queue.
	QueueWait time.Duration
	// BodyBytes is the maximum size of a request body.
	BodyBytes int
	// Connections is the maximum number of connections of all hosts to a target;
	// 0 means no limit.
	Connections int
}

// WarmUp limits the load of targets that have just started.
type WarmUp struct {
	// ColdLimit is the maximum number of requests in flight on a cold target.
	ColdLimit int
	// RampRequests is the number of completed requests over which the limit grows
	// from ColdLimit to InFlightPerTarget.
	RampRequests int
	// ColdFirstByte is the time to first byte above which a target counts as cold
	// again. With 0, a target counts as cold again only if it reports so.
	ColdFirstByte time.Duration
	// ColdPerSecond is the maximum rate of requests per second from all hosts to a
	// cold target; 0 applies only ColdLimit.
	ColdPerSecond float64
	// Lasts is how long a target counts as cold after its start.
	Lasts time.Duration
}

// Timeouts limit the phases of a call.
type Timeouts struct {
	// FirstByte is the maximum time to the first byte of the response.
	FirstByte time.Duration
	// Gap is the maximum time without data within a response.
	Gap time.Duration
	// Total is the maximum duration of a call, including its wait in the queue.
	Total time.Duration
}

// Placement specifies the number and distribution of a service's targets.
type Placement struct {
	// Min and Max limit the number of targets; a Max of 0 means no limit.
	Min int
	Max int
	// Spread is the minimum number of failure domains that the targets are in.
	Spread int
	// Role is the role of the service's engines; empty for mixed.
	Role string
}

// Workspace is a customer that shares the fleet.
type Workspace struct {
	Name string
	// Share is the workspace's weight when requests of several workspaces queue.
	Share int
	// Services lists the services that the workspace may use; empty for all.
	Services []string
	// Keys are the secrets that authenticate callers of routes as this workspace.
	Keys []string
	// HasPriority is set if Priority overrides that of the routes. As in Route, a
	// Priority of 0 goes first; that of a Call goes the other way.
	HasPriority bool
	Priority    int
}

// Store describes the weight store, from which engines load models.
type Store struct {
	// ConcurrentLoads is the maximum number of concurrent loads in the fleet.
	ConcurrentLoads int
	// BytesPerSecond is the maximum rate of all loads together.
	BytesPerSecond int64
}

// Service returns the service with the given name.
func (f *Fleet) Service(name string) (Service, bool) {
	for _, service := range f.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Workspace returns the workspace with the given name.
func (f *Fleet) Workspace(name string) (Workspace, bool) {
	for _, workspace := range f.Workspaces {
		if workspace.Name == name {
			return workspace, true
		}
	}
	return Workspace{}, false
}

// Call returns the call with the given name.
func (s *Service) Call(name string) (Call, bool) {
	for _, call := range s.Calls {
		if call.Name == name {
			return call, true
		}
	}
	return Call{}, false
}

// Allows reports whether the workspace may use the service.
func (w *Workspace) Allows(service string) bool {
	if len(w.Services) == 0 {
		return true
	}
	for _, name := range w.Services {
		if name == service {
			return true
		}
	}
	return false
}
