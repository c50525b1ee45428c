// Package placement decides which target serves which service.
//
// A Planner runs on the state leader. It is decision code: it does no I/O, starts
// no goroutine and takes the time as an argument; the same calls give the same
// effects. What it decides leaves it as orders, and an order goes this way:
//
//  1. RecordOrder: the host commits the order to the log. From then on the owner
//     of the target's service gives the target no new work (for orders that take
//     it out of service), whoever leads.
//  2. The host calls OrderRecorded, or OrderNotRecorded. The planner waits until the target runs
//     nothing any more and checks the minimum of its service again.
//  3. SendOrder: the host sends the order to the target, again and again under
//     the same ID until its end is known.
//  4. CloseOrder: the host removes the order from the log. The target takes work
//     again as its announcement says.
//
// A target has at most one order at a time, and none is replaced while its end is
// not known. An order carries the leader's fencing number, so that a target that
// checks it refuses an old leader; for targets that don't, a new leader first
// takes over the recorded orders and waits out the authority of the last one, and
// Step gives nothing to send once the leader's own authority has ended.
//
// All other state is read from the targets' reports. A new leader therefore can't
// tell a model that nobody ordered from an older build of the service, and counts
// such a target as serving until it has an order.
//
// The orders that move KV cache are not recorded: one that is lost or run twice
// costs only time. A host that copies caches itself may answer ExportCache with
// Done at once and copy chat by chat from Peer when it is to send ImportCache.
//
// # Usage
//
//	planner := placement.New(placement.WithLeaderLease(5 * time.Second))
//	planner.Configure(now, text, domainsOut, targetsOut, pins)
//	planner.Observe(now, targets)
//	planner.Lead(now, fence, recorded)
//	for _, effect := range planner.Step(now, authorityUntil) {
//		switch e := effect.(type) {
//		case placement.RecordOrder: // commit e.Order, then OrderRecorded
//		case placement.SendOrder:   // send before e.Until, then OrderAnswered
//		case placement.CloseOrder:  // commit the removal
//		case placement.MoveChats:   // tell the owner where the chats are warm
//		case placement.Log, placement.Alarm:
//		}
//	}
package placement

import "time"

// Timing are the waits of a Planner.
type Timing struct {
	// LeaderLease is how long a new leader sends nothing: the longest time
	// for which its predecessor may still act.
	LeaderLease time.Duration
	// LossGrace is how long a target may be missing or unready before others
	// take its place.
	LossGrace time.Duration
	// PropagationDelay is the time after which all hosts know of a recorded order.
	PropagationDelay time.Duration
	// DrainTimeout ends an order whose target does not run empty.
	DrainTimeout time.Duration
	// ResendInterval is the wait for an answer; it doubles up to MaxResendInterval.
	ResendInterval    time.Duration
	MaxResendInterval time.Duration
	// OrderTimeout is the longest time that an order may take once sent.
	OrderTimeout time.Duration
	// MaxReportLag is how long a target's report may lag behind its answer.
	MaxReportLag time.Duration
	// RetryBackoff is the pause after a target failed an order; it doubles up to
	// MaxRetryBackoff.
	RetryBackoff    time.Duration
	MaxRetryBackoff time.Duration
	// WarmUpTimeout is the time after which a ready target counts as warm even if it
	// reports that it is cold.
	WarmUpTimeout time.Duration
	// ScaleUpDelay is how long a service must be pressed before it gets a target.
	ScaleUpDelay time.Duration
	// ScaleCooldown is the shortest time between two moves that pressure makes
	// for, or takes from, one service.
	ScaleCooldown time.Duration
}

// DefaultTiming suits targets that load in minutes and hosts that renew in
// seconds.
func DefaultTiming() Timing {
	return Timing{
		LeaderLease:       5 * time.Second,
		LossGrace:         15 * time.Second,
		PropagationDelay:  5 * time.Second,
		DrainTimeout:      10 * time.Minute,
		ResendInterval:    5 * time.Second,
		MaxResendInterval: time.Minute,
		OrderTimeout:      15 * time.Minute,
		MaxReportLag:      20 * time.Second,
		RetryBackoff:      time.Minute,
		MaxRetryBackoff:   time.Hour,
		WarmUpTimeout:     2 * time.Minute,
		ScaleUpDelay:      30 * time.Second,
		ScaleCooldown:     5 * time.Minute,
	}
}

// Option changes how a Planner is made.
type Option func(*Planner)

// WithTiming replaces all waits.
func WithTiming(times Timing) Option {
	return func(p *Planner) { p.times = times }
}

// WithLeaderLease sets how long a new leader sends nothing.
func WithLeaderLease(wait time.Duration) Option {
	return func(p *Planner) { p.times.LeaderLease = wait }
}

// WithDefaultModelBytes sets the size in bytes that a model is taken to have until a
// target has reported it.
func WithDefaultModelBytes(size int64) Option {
	return func(p *Planner) { p.modelBytes = size }
}

// WithUnload allows Unload orders, for targets that take them. Without it a
// target above its service's maximum that no other service needs stays as it is.
func WithUnload() Option {
	return func(p *Planner) { p.unloads = true }
}

// WithHandover sets the limits for moving chats off leaving targets.
func WithHandover(limits HandoverLimits) Option {
	return func(p *Planner) { p.handover.limits = limits }
}

// defaultModelBytes is the size of a model that no target has reported.
const defaultModelBytes = 16 << 30
