package placement

import (
	"time"

	"comfreytiller.dev/target"
)

// TargetState is what the hosts know of a target now.
type TargetState struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	Kind          target.Kind
	// Service, Model, Version, Adapters and Role are as announced; an empty
	// Service is an engine that serves nothing.
	Service  string
	Model    string
	Version  string
	Adapters []string
	Role     target.Role
	// Ready says that the target takes work: alive, healthy and not leaving.
	Ready bool
	// Cold says that the target is not warmed up.
	Cold bool
	// Leaving says that the target takes no new work for good.
	Leaving bool
	// InFlight is the number of requests that run on the target.
	InFlight int
	// CachedChats is the number of chats that are warm on the target.
	CachedChats int
	// ModelBytes is the size of the loaded model; 0 for unknown.
	ModelBytes int64
	// MovesCache is set by a target that exports and imports KV cache.
	MovesCache bool
}

// engine is a target with what the planner remembers of it.
type engine struct {
	TargetState
	// seen is when the target was last reported.
	seen time.Time
	// readySince is when it became ready; zero while it is not.
	readySince time.Time
	// lostAt is when it was first missing or unready; zero while it is neither.
	lostAt time.Time
	// failures counts the orders it failed since its start; retryAt ends the
	// pause after the last one.
	failures int
	retryAt  time.Time
	// mismatched is set while the target shows something that nobody ordered.
	mismatched bool
	order      *pending
	// exporting and importing are its cache orders.
	exporting *pending
	importing *pending
}

// take replaces the reported state.
func (e *engine) take(now time.Time, state TargetState) {
	if state.Incarnation != e.Incarnation {
		e.failures = 0
		e.retryAt = time.Time{}
		e.readySince = time.Time{}
	}
	if state.Service != e.Service || state.Model != e.Model || state.Version != e.Version {
		e.mismatched = false
	}
	e.TargetState = state
	e.seen = now
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

// detach removes the link to an order that has ended.
func (e *engine) detach(o *pending) {
	for _, link := range []**pending{&e.order, &e.exporting, &e.importing} {
		if *link == o {
			*link = nil
		}
	}
}

// lost reports whether the target has been missing or unready for longer than
// the grace.
func (e *engine) lost(now time.Time, grace time.Duration) bool {
	return !e.lostAt.IsZero() && now.Sub(e.lostAt) >= grace
}

// present reports whether the last observation named the target.
func (e *engine) present(observed time.Time) bool {
	return e.seen.Equal(observed)
}
