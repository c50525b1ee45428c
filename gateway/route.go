package gateway

import (
	"time"

	"comfreytiller.dev/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// Callers abandon a stream after a gap of minCallerPatience, patiencePerObjective times
// the objective or patiencePerPause times the maximum pause of its route, whichever is
// longest. This holds before the first event, too.
const (
	minCallerPatience    = 2 * time.Second
	patiencePerObjective = 4
	patiencePerPause     = 8
)

// maxSilenceShare is the share of the time that callers wait after which a stream leaves a
// silent target, so that the rest is left for the next one. A sound target may be silent
// for about a second.
const maxSilenceShare = 0.625

// The first-byte timeout of a call without a stream is timeoutFactor times the objective
// of its route, at least minFirstByteTimeout.
const (
	timeoutFactor       = 4
	minFirstByteTimeout = 500 * time.Millisecond
)

// deadlineMargin is reserved for the way back to the caller, so that it
// receives the failure before its own timeout.
const deadlineMargin = 25 * time.Millisecond

// RouteQuery holds the parts of a request that determine its route.
type RouteQuery struct {
	HostName string
	Path     string
	// APIKey identifies the workspace; empty if there is none.
	APIKey string
	// CallerTimeout is how long the caller waits; 0 if unknown.
	CallerTimeout time.Duration
	// Unconfirmed is set if there may be a later configuration. Unknown routes and keys are
	// then refused as not run instead of rejected for good.
	Unconfirmed bool
}

// ResolveRoute finds the route, workspace and service of a request in the fleet
// configuration and sets the fields of r that depend on them.
func ResolveRoute(r *Request, table *fleet.Table, query RouteQuery) *Failure {
	if table == nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, "no fleet is in force yet").withRetryAfter(defaultRetryAfter)
	}
	route := table.Route(query.HostName, query.Path)
	if route == nil && query.Unconfirmed {
		return unconfirmedFailure("no route for " + quoteName(query.HostName) + " " + quoteName(query.Path))
	}
	if route == nil {
		return failure(fasthttp.StatusNotFound, CodeNotFound, "no route for "+quoteName(query.HostName)+" "+quoteName(query.Path))
	}
	priority := route.Priority
	if workspace := table.Workspace(query.APIKey); workspace != nil {
		r.Workspace = workspace.Name
		if workspace.HasPriority {
			priority = workspace.Priority
		}
	} else if !route.Public && len(table.Fleet().Workspaces) > 0 {
		if query.Unconfirmed {
			return unconfirmedFailure("the key belongs to no workspace")
		}
		return failure(fasthttp.StatusUnauthorized, CodeForbidden, "the key belongs to no workspace")
	}
	if route.Public {
		r.Workspace = ""
	}
	service := table.Service(route.ServiceFor(xxhash.Sum64String(r.streamID())))
	if service == nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, "the route has no service").withRetryAfter(defaultRetryAfter)
	}
	if limit := table.Fleet().Requests.BodyBytes; limit > 0 && len(r.Body) > limit {
		return bodyTooLarge()
	}
	r.Service, r.MaxAttempts, r.FirstByteObjective = *service, route.Attempts, route.Objective
	r.Call = fleet.Call{
		Name: route.Name, Idempotent: route.Retryable(), Priority: callPriority(priority),
		Stream: route.Kind == fleet.RouteStream, StopsWithCaller: route.Kind == fleet.RouteStream,
	}
	r.Service.Timeouts, r.TimeoutsMoveOnly = routeTimeouts(route), true
	r.setRouteDeadline(query.CallerTimeout)
	return nil
}

// unconfirmedFailure returns the failure of a request that the configuration in force does
// not allow, and a later one may.
func unconfirmedFailure(problem string) *Failure {
	return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, problem+", but the configuration may not be the latest").withRetryAfter(defaultRetryAfter)
}

// callPriority converts the priority of a route or workspace, of which the lowest
// value goes first, to that of a call, of which the highest goes first.
func callPriority(routePriority int) int { return -routePriority }

// setRouteDeadline sets the deadline from the timeout of the caller or of the
// route, whichever is shorter. deadlineMargin takes at most half of the timeout
// of the caller.
func (r *Request) setRouteDeadline(callerTimeout time.Duration) {
	total := r.Service.Timeouts.Total
	if callerTimeout > 0 {
		total = min(total, max(callerTimeout-deadlineMargin, callerTimeout/2))
	}
	r.Deadline = r.Started.Add(total)
}

// routeTimeouts shortens the first-byte and gap timeouts only if the request
// can be retried on another target; otherwise an earlier timeout gains nothing. They
// only move the request, see Request.TimeoutsMoveOnly.
func routeTimeouts(route *fleet.Route) fleet.Timeouts {
	timeouts := fleet.Timeouts{FirstByte: route.Timeout, Gap: route.Timeout, Total: route.Timeout}
	if !route.Retryable() || route.Attempts < 2 {
		return timeouts
	}
	firstByte := max(timeoutFactor*route.Objective, minFirstByteTimeout)
	if route.Kind == fleet.RouteStream {
		firstByte = maxSilence(route)
	}
	if route.Objective > 0 {
		timeouts.FirstByte = min(firstByte, route.Timeout)
	}
	if route.Pause > 0 {
		timeouts.Gap = min(maxSilence(route), route.Timeout)
	}
	return timeouts
}

// maxSilence returns how long a target of a stream may send nothing before the stream
// moves to another one.
func maxSilence(route *fleet.Route) time.Duration {
	patience := max(minCallerPatience, patiencePerObjective*route.Objective, patiencePerPause*route.Pause)
	return time.Duration(maxSilenceShare * float64(patience))
}
