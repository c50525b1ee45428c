// Package fleet holds the operators' text: the services, what each depends on,
// the workspaces that use them and the wishes for placement.
//
// Operators change the fleet by editing the text, JSON with comments and Pascal
// case keys. A text is parsed and checked as a whole; every fault is reported
// with its line and column.
//
// # Usage
//
//	text, err := os.ReadFile("agence.fleet.jsonc")
//	agence, err := fleet.Parse(text)
package fleet

import "time"

// Fleet is the meaning of one version of the operators' text.
type Fleet struct {
	Name           string
	FailureDomains []string
	Services       []Service
	Workspaces     []Workspace
	Store          Store
	// Routes find the service of a request by host name and path, for callers
	// that do not name it.
	Routes []Route
	// Requests bound what callers may send.
	Requests RequestLimits
}

// Service is a set of targets that run the same calls.
type Service struct {
	Name string
	// Kind is "Model" for engines and "Plain" for services such as the treasury.
	Kind string
	// Model and Version name what a model engine must have loaded.
	Model    string
	Version  string
	Adapters []string
	// DependsOn names services without which this one cannot serve.
	DependsOn []string
	Calls     []Call
	Limits    Limits
	WarmUp    WarmUp
	Placement Placement
	// Timeouts bound each step of a call.
	Timeouts Timeouts
	// MovesCache is set where the engines copy KV cache from each other at the
	// word of a call.
	MovesCache bool
}

// Call is one operation of a service.
type Call struct {
	Name string
	// Idempotent calls may be retried; any other runs at most once.
	Idempotent bool
	// Priority is passed on to the engines; a higher number goes first.
	Priority int
	// Stream is set when the answer is an event stream.
	Stream bool
	// StopsWithCaller is set where a call that is not idempotent ends on its
	// target when the caller goes away. Idempotent calls always do.
	StopsWithCaller bool
}

// Limits bound the load of a service's targets.
type Limits struct {
	// InFlightPerTarget is the largest number of requests on one target.
	InFlightPerTarget int
	// LoadFactor is c: no target has more in flight than ceil(c × mean).
	LoadFactor float64
	// Queue is the largest number of waiting requests of one workspace.
	Queue int
	// QueueWait is the longest wait of one request.
	QueueWait time.Duration
	// BodyBytes is the largest request body.
	BodyBytes int
	// Connections is the largest number of connections that one target takes
	// from all hosts; 0 is no bound.
	Connections int
}

// WarmUp bounds the load of targets that have just started.
type WarmUp struct {
	// ColdLimit is the largest number of requests in flight on a cold target.
	ColdLimit int
	// RampRequests is the number of completed requests after which the limit
	// has grown from ColdLimit to InFlightPerTarget.
	RampRequests int
	// ColdFirstByte is the first-byte time that shows that a target has turned
	// cold again; 0 leaves this to its reports.
	ColdFirstByte time.Duration
	// ColdPerSecond is the rate of requests that a cold target bears from all
	// hosts; 0 leaves it to ColdLimit.
	ColdPerSecond float64
	// Lasts is how long a target stays cold after its start.
	Lasts time.Duration
}

// Timeouts bound the steps of a call.
type Timeouts struct {
	// FirstByte is the longest silence before an answer's first byte.
	FirstByte time.Duration
	// Gap is the longest silence within an answer.
	Gap time.Duration
	// Total is the longest time a call may take.
	Total time.Duration
}

// Placement wishes how many targets a service has and where.
type Placement struct {
	// Min and Max bound the number of replicas; Max 0 is no bound.
	Min int
	Max int
	// Spread is the smallest number of failure domains to use.
	Spread int
	// Role is the role that the engines of this service play; empty for mixed.
	Role string
}

// Workspace is a customer's share of the fleet.
type Workspace struct {
	Name string
	// Share weighs this workspace against the others when requests wait.
	Share int
	// Services names the services it may use; empty for all.
	Services []string
	// Keys are the secrets by which callers on routes prove the workspace.
	Keys []string
	// HasPriority is set where Priority replaces that of the routes; 0 goes first.
	HasPriority bool
	Priority    int
}

// Store describes the weight store.
type Store struct {
	// ConcurrentLoads is the largest number of loads at once in the fleet.
	ConcurrentLoads int
	// BytesPerSecond is the rate that all loads together may take.
	BytesPerSecond int64
}

// Service returns the service of that name.
func (f *Fleet) Service(name string) (Service, bool) {
	for _, service := range f.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Workspace returns the workspace of that name.
func (f *Fleet) Workspace(name string) (Workspace, bool) {
	for _, workspace := range f.Workspaces {
		if workspace.Name == name {
			return workspace, true
		}
	}
	return Workspace{}, false
}

// Call returns the call of that name.
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
