// Package scarcity decides which requests an entry host serves while a service has less
// capacity than demand.
//
// It is designed for hosts that decide by themselves: hundreds of hosts know the requests
// in flight on the targets from digests that are a fraction of a second old, and each
// receives a sample of the requests of every workspace, sometimes only one a second. A
// host therefore doesn't wait for a free place. It estimates how many requests a second
// the targets can take from all hosts (Room), plans which part of each class of requests
// that is (Plan), and serves a request with that probability (Draw). Only a request that
// is to get a place within a fraction of its objective waits (Queue).
//
// The package does no I/O and starts no goroutine. The time and the random numbers are
// arguments. It is not safe for concurrent use.
//
// # Usage
//
//	service := scarcity.NewService(scarcity.PlainService, weightOf)
//	service.Observe(now, scarcity.Load{InFlight: 20, Slots: 18, Hosts: 141})
//	decision := service.Decide(now, &scarcity.Request{Class: class, Deadline: deadline})
package scarcity

import "time"

// Class is a set of requests that are planned for together.
type Class struct {
	Workspace string
	// Priority is the rank of the requests; higher values are served first.
	Priority int
}

// Request is a request that asks for a place.
type Request struct {
	Class
	// Once is set for a request that may run only once.
	Once bool
	// ContentKey is a hash of what the request and its repeats have in common; 0 for
	// unknown.
	ContentKey uint64
	Started    time.Time
	Deadline   time.Time
	// Objective is the time to first byte that the caller expects; 0 for unknown.
	Objective time.Duration
	// Bytes is the memory that the request takes while it waits.
	Bytes int
	// MayWait is set if the host has memory for another request that waits.
	MayWait bool
	// Random is a random number.
	Random uint64
}

// isLate reports whether the objective of the request has passed.
func (r *Request) isLate(now time.Time) bool {
	return r.Objective > 0 && now.Sub(r.Started) > r.Objective
}

// Verdict is what happens to a request.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota
	Queued
	Refused
)

// Reason is why a request was not admitted at once. It is the value of a log field and of
// a metric's tag.
type Reason string

// The reasons.
const (
	// ReasonRoom: the request lost the draw among those of its rank.
	ReasonRoom Reason = "Room"
	// ReasonRank: more urgent requests take the room.
	ReasonRank Reason = "Rank"
	// ReasonWorkspace: the workspace sends more than its fair share.
	ReasonWorkspace Reason = "Workspace"
	// ReasonDeadline: the deadline is before the expected end of the request.
	ReasonDeadline Reason = "Deadline"
	// ReasonQueue: the request waited, and no place was free in time.
	ReasonQueue Reason = "Queue"
	// ReasonDrain: the request waited on a host that stopped.
	ReasonDrain Reason = "Drain"
)

// Decision is the result of Decide.
type Decision struct {
	Verdict Verdict
	// Reason is why the request was not admitted at once.
	Reason Reason
	// Share is the part of such requests that is served.
	Share float64
	// RetryAfter is set for a refused request.
	RetryAfter time.Duration
	// Waiter is the queued request, and Evicted one that gave up its place in the queue for
	// it, if any.
	Waiter  *Waiter
	Evicted *Waiter
}
