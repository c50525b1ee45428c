package gateway

import (
	"time"

	"comfreytiller.dev/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// How long a target may be silent on a route whose requests may run again, in
// multiples of what callers expect, and the least of that.
const (
	silenceFactor   = 4
	leastFirstByte  = 500 * time.Millisecond
	leastEventPause = 700 * time.Millisecond
)

// deadlineMargin is what the way back to the caller is allowed, so that it hears
// of the deadline before it gives up itself.
const deadlineMargin = 25 * time.Millisecond

// RouteQuery is what a face knows of a request that is found by its route.
type RouteQuery struct {
	HostName string
	Path     string
	// APIKey proves the workspace; empty for none.
	APIKey string
	// CallerTimeout is how long the caller waits; 0 for unknown.
	CallerTimeout time.Duration
}

// ResolveRoute finds a request's route, workspace and service in the fleet in force
// and sets what follows from them.
func ResolveRoute(r *Request, table *fleet.Table, query RouteQuery) *Failure {
	if table == nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, "no fleet is in force yet").after(defaultRetryAfter)
	}
	route := table.Route(query.HostName, query.Path)
	if route == nil {
		return failure(fasthttp.StatusNotFound, CodeNotFound, "no route for "+quoteName(query.HostName)+" "+quoteName(query.Path))
	}
	priority := route.Priority
	if workspace := table.Workspace(query.APIKey); workspace != nil {
		r.Workspace = workspace.Name
		if workspace.Ranked {
			priority = workspace.Priority
		}
	} else if !route.Public && len(table.Fleet().Workspaces) > 0 {
		return failure(fasthttp.StatusUnauthorized, CodeForbidden, "the key belongs to no workspace")
	}
	if route.Public {
		r.Workspace = ""
	}
	service := table.Service(route.ServiceFor(xxhash.Sum64String(r.CallerID)))
	if service == nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, "the route has no service").after(defaultRetryAfter)
	}
	if limit := table.Fleet().Requests.BodyBytes; limit > 0 && len(r.Body) > limit {
		return bodyTooLarge()
	}
	r.Service, r.MaxAttempts, r.FirstByteObjective = *service, route.Attempts, route.Objective
	r.Call = fleet.Call{
		Name: route.Name, Idempotent: route.Repeatable(), Priority: priority,
		Stream: route.Kind == fleet.RouteStream, StopsWithCaller: route.Kind == fleet.RouteStream,
	}
	r.Service.Timeouts = routeTimeouts(route)
	r.setPatience(query.CallerTimeout)
	return nil
}

// setPatience sets the deadline from what the caller and the route allow.
func (r *Request) setPatience(patience time.Duration) {
	total := r.Service.Timeouts.Total
	if patience > 0 {
		total = min(total, max(patience-deadlineMargin, patience/2))
	}
	r.Deadline = r.Started.Add(total)
}

// routeTimeouts bounds the silence of a target only where the request may go on
// at another one; elsewhere nothing is gained by an earlier end.
func routeTimeouts(route *fleet.Route) fleet.Timeouts {
	timeouts := fleet.Timeouts{FirstByte: route.Timeout, Gap: route.Timeout, Total: route.Timeout}
	if !route.Repeatable() || route.Attempts < 2 {
		return timeouts
	}
	if route.Objective > 0 {
		timeouts.FirstByte = min(max(silenceFactor*route.Objective, leastFirstByte), route.Timeout)
	}
	if route.Pause > 0 {
		timeouts.Gap = min(max(silenceFactor/2*route.Pause, leastEventPause), route.Timeout)
	}
	return timeouts
}
