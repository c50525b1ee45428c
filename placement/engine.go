package placement

import (
	"time"

	"comfreytiller.dev/target"
)

// TargetState is the state of a target as last reported to the hosts.
type TargetState struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	Kind          target.Kind
	// Service, Model, Version, Adapters and Role are as announced. Service is
	// empty for an engine that serves nothing.
	Service  string
	Model    string
	Version  string
	Adapters []string
	Role     target.Role
	// Ready is set while the target accepts work: alive, healthy and not leaving.
	Ready bool
	// Cold is set while the target is not warmed up.
	Cold bool
	// Leaving is set once the target permanently accepts no new work.
	Leaving bool
	// InFlight is the number of requests in flight on the target.
	InFlight int
	// CachedChats is the number of chats whose cache is warm on the target.
	CachedChats int
	// ModelBytes is the size of the loaded model; 0 if unknown.
	ModelBytes int64
	// MovesCache is set if the target can export and import KV cache.
	MovesCache bool
}

// engine is a target and the planner's state for it.
type engine struct {
	TargetState
	// reportedAt is when the target was last reported.
	reportedAt time.Time
	// readySince is when the target became ready; zero while it is not.
	readySince time.Time
	// lostAt is when the target was first missing or not ready; zero while it is
	// present and ready.
	lostAt time.Time
	// failures counts the orders that failed since the target started. retryAt is
	// the end of the backoff after the last failure.
	failures int
	retryAt  time.Time
	// mismatched is set while the target reports a state that was not ordered.
	mismatched bool
	order      *pendingOrder
	// exporting and importing are the target's cache orders.
	exporting *pendingOrder
	importing *pendingOrder
}

// update stores a newly reported state.
func (e *engine) update(now time.Time, state TargetState) {
	if state.Incarnation != e.Incarnation {
		e.failures = 0
		e.retryAt = time.Time{}
		e.readySince = time.Time{}
	}
	if state.Service != e.Service || state.Model != e.Model || state.Version != e.Version {
		e.mismatched = false
	}
	e.TargetState = state
	e.reportedAt = now
	switch {
	case !state.Ready:
		e.readySince = time.Time{}
	case e.readySince.IsZero():
		e.readySince = now
	}
	switch {
	case state.Ready || state.Service == "":
		e.lostAt = time.Time{}
	case e.lostAt.IsZero():
		e.lostAt = now
	}
}

// unlinkOrder removes the reference to an order that has ended.
func (e *engine) unlinkOrder(o *pendingOrder) {
	for _, link := range []**pendingOrder{&e.order, &e.exporting, &e.importing} {
		if *link == o {
			*link = nil
		}
	}
}

// lost reports whether the target has been missing or not ready for at least the
// grace period.
func (e *engine) lost(now time.Time, grace time.Duration) bool {
	return !e.lostAt.IsZero() && now.Sub(e.lostAt) >= grace
}

// present reports whether the target was part of the observation at the given time.
func (e *engine) present(observedAt time.Time) bool {
	return e.reportedAt.Equal(observedAt)
}
