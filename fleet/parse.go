package fleet

import (
	"time"

	"github.com/tailscale/hujson"

	"comfreytiller.dev/common/jsonc"
)

// Parse reads and validates a configuration. Omitted keys get their defaults. The
// error is a *Faults with all faults of the configuration.
//
// A call is idempotent only if the configuration sets it so.
func Parse(data []byte) (*Fleet, error) {
	r := &reader{Reader: jsonc.Reader{Source: data}}
	root, ok := r.parseTree()
	if !ok {
		return nil, r.err()
	}
	parsed := r.readFleet(root)
	if r.Omitted == 0 {
		r.check(parsed, root)
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	return parsed, nil
}

func (r *reader) readFleet(root *hujson.Value) *Fleet {
	parsed := &Fleet{Store: defaultStore()}
	r.Object(
		root, nil,
		jsonc.Field{Name: "Name", Required: true, Read: jsonc.Name(&r.Reader, &parsed.Name)},
		jsonc.Field{Name: "FailureDomains", Required: true, Read: jsonc.Names(&r.Reader, &parsed.FailureDomains, maxFailureDomains)},
		jsonc.Field{Name: "Services", Required: true, Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			r.List(value, at, maxServices, func(value *hujson.Value, at *jsonc.FieldPath) {
				parsed.Services = append(parsed.Services, r.readService(value, at))
			})
		}},
		jsonc.Field{Name: "Workspaces", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			r.List(value, at, maxWorkspaces, func(value *hujson.Value, at *jsonc.FieldPath) {
				parsed.Workspaces = append(parsed.Workspaces, r.readWorkspace(value, at))
			})
		}},
		jsonc.Field{Name: "Store", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			r.readStore(value, at, &parsed.Store)
		}},
		jsonc.Field{Name: "Routes", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			r.List(value, at, maxRoutes, func(value *hujson.Value, at *jsonc.FieldPath) {
				parsed.Routes = append(parsed.Routes, r.readRoute(value, at))
			})
		}},
		jsonc.Field{Name: "Requests", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			r.readRequests(value, at, &parsed.Requests)
		}},
	)
	return parsed
}

func (r *reader) readService(value *hujson.Value, at *jsonc.FieldPath) Service {
	service := defaultService()
	r.Object(
		value, at,
		jsonc.Field{Name: "Name", Required: true, Read: jsonc.Name(&r.Reader, &service.Name)},
		jsonc.Field{Name: "Kind", Required: true, Read: jsonc.String(&r.Reader, &service.Kind)},
		jsonc.Field{Name: "Model", Read: jsonc.String(&r.Reader, &service.Model)},
		jsonc.Field{Name: "Version", Read: jsonc.String(&r.Reader, &service.Version)},
		jsonc.Field{Name: "Adapters", Read: jsonc.Names(&r.Reader, &service.Adapters, maxAdapters)},
		jsonc.Field{Name: "DependsOn", Read: jsonc.Names(&r.Reader, &service.DependsOn, maxServices)},
		jsonc.Field{Name: "Calls", Required: true, Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			r.List(value, at, maxCalls, func(value *hujson.Value, at *jsonc.FieldPath) {
				service.Calls = append(service.Calls, r.readCall(value, at))
			})
		}},
		jsonc.Field{Name: "Limits", Read: func(value *hujson.Value, at *jsonc.FieldPath) { r.readLimits(value, at, &service.Limits) }},
		jsonc.Field{Name: "WarmUp", Read: func(value *hujson.Value, at *jsonc.FieldPath) { r.readWarmUp(value, at, &service.WarmUp) }},
		jsonc.Field{Name: "Placement", Read: func(value *hujson.Value, at *jsonc.FieldPath) { r.readPlacement(value, at, &service.Placement) }},
		jsonc.Field{Name: "Timeouts", Read: func(value *hujson.Value, at *jsonc.FieldPath) { r.readTimeouts(value, at, &service.Timeouts) }},
		jsonc.Field{Name: "MovesCache", Read: jsonc.Boolean(&r.Reader, &service.MovesCache)},
	)
	return service
}

func (r *reader) readCall(value *hujson.Value, at *jsonc.FieldPath) Call {
	var call Call
	r.Object(
		value, at,
		jsonc.Field{Name: "Name", Required: true, Read: jsonc.Name(&r.Reader, &call.Name)},
		jsonc.Field{Name: "Idempotent", Read: jsonc.Boolean(&r.Reader, &call.Idempotent)},
		jsonc.Field{Name: "Priority", Read: jsonc.Integer(&r.Reader, &call.Priority, 0, maxPriority)},
		jsonc.Field{Name: "Stream", Read: jsonc.Boolean(&r.Reader, &call.Stream)},
		jsonc.Field{Name: "StopsWithCaller", Read: jsonc.Boolean(&r.Reader, &call.StopsWithCaller)},
	)
	return call
}

func (r *reader) readLimits(value *hujson.Value, at *jsonc.FieldPath, limits *Limits) {
	r.Object(
		value, at,
		jsonc.Field{Name: "InFlightPerTarget", Read: jsonc.Integer(&r.Reader, &limits.InFlightPerTarget, 1, maxInFlight)},
		jsonc.Field{Name: "LoadFactor", Read: jsonc.Number(&r.Reader, &limits.LoadFactor, 1, maxLoadFactor)},
		jsonc.Field{Name: "Queue", Read: jsonc.Integer(&r.Reader, &limits.Queue, 0, maxQueue)},
		jsonc.Field{Name: "QueueWait", Read: jsonc.Duration(&r.Reader, &limits.QueueWait, 0, maxQueueWait)},
		jsonc.Field{Name: "BodyBytes", Read: jsonc.Integer(&r.Reader, &limits.BodyBytes, 1, maxBodyBytes)},
		jsonc.Field{Name: "Connections", Read: jsonc.Integer(&r.Reader, &limits.Connections, 0, maxConnections)},
	)
}

func (r *reader) readWarmUp(value *hujson.Value, at *jsonc.FieldPath, warmUp *WarmUp) {
	r.Object(
		value, at,
		jsonc.Field{Name: "ColdLimit", Read: jsonc.Integer(&r.Reader, &warmUp.ColdLimit, 1, maxInFlight)},
		jsonc.Field{Name: "RampRequests", Read: jsonc.Integer(&r.Reader, &warmUp.RampRequests, 1, maxRampRequests)},
		jsonc.Field{Name: "ColdFirstByte", Read: jsonc.Duration(&r.Reader, &warmUp.ColdFirstByte, 0, maxStepTimeout)},
		jsonc.Field{Name: "ColdPerSecond", Read: jsonc.Number(&r.Reader, &warmUp.ColdPerSecond, 0, maxColdPerSecond)},
		jsonc.Field{Name: "Lasts", Read: jsonc.Duration(&r.Reader, &warmUp.Lasts, 0, maxStepTimeout)},
	)
}

func (r *reader) readPlacement(value *hujson.Value, at *jsonc.FieldPath, placement *Placement) {
	r.Object(
		value, at,
		jsonc.Field{Name: "Min", Read: jsonc.Integer(&r.Reader, &placement.Min, 0, maxReplicas)},
		jsonc.Field{Name: "Max", Read: jsonc.Integer(&r.Reader, &placement.Max, 0, maxReplicas)},
		jsonc.Field{Name: "Spread", Read: jsonc.Integer(&r.Reader, &placement.Spread, 1, maxFailureDomains)},
		jsonc.Field{Name: "Role", Read: jsonc.String(&r.Reader, &placement.Role)},
	)
}

func (r *reader) readTimeouts(value *hujson.Value, at *jsonc.FieldPath, timeouts *Timeouts) {
	r.Object(
		value, at,
		jsonc.Field{Name: "FirstByte", Read: jsonc.Duration(&r.Reader, &timeouts.FirstByte, time.Millisecond, maxStepTimeout)},
		jsonc.Field{Name: "Gap", Read: jsonc.Duration(&r.Reader, &timeouts.Gap, time.Millisecond, maxStepTimeout)},
		jsonc.Field{Name: "Total", Read: jsonc.Duration(&r.Reader, &timeouts.Total, time.Millisecond, maxTotalTimeout)},
	)
}

func (r *reader) readWorkspace(value *hujson.Value, at *jsonc.FieldPath) Workspace {
	workspace := Workspace{Share: DefaultShare}
	r.Object(
		value, at,
		jsonc.Field{Name: "Name", Required: true, Read: jsonc.Name(&r.Reader, &workspace.Name)},
		jsonc.Field{Name: "Share", Read: jsonc.Integer(&r.Reader, &workspace.Share, 1, maxWorkspaceShare)},
		jsonc.Field{Name: "Services", Read: jsonc.Names(&r.Reader, &workspace.Services, maxServices)},
		jsonc.Field{Name: "Keys", Read: jsonc.Names(&r.Reader, &workspace.Keys, maxKeys)},
		jsonc.Field{Name: "Priority", Read: func(value *hujson.Value, at *jsonc.FieldPath) {
			workspace.HasPriority = true
			jsonc.Integer(&r.Reader, &workspace.Priority, 0, maxPriority)(value, at)
		}},
	)
	return workspace
}

func (r *reader) readStore(value *hujson.Value, at *jsonc.FieldPath, store *Store) {
	r.Object(
		value, at,
		jsonc.Field{Name: "ConcurrentLoads", Read: jsonc.Integer(&r.Reader, &store.ConcurrentLoads, 1, maxConcurrentLoads)},
		jsonc.Field{Name: "BytesPerSecond", Read: jsonc.Integer(&r.Reader, &store.BytesPerSecond, 1, maxBytesPerSecond)},
	)
}
