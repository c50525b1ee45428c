// Package placement decides which target serves which service.
//
// A Planner runs on the state leader. It does no I/O, starts no goroutines and
// takes the time as an argument, so the same calls always return the same
// effects. Its decisions are orders, and each order passes through these steps:
//
//  1. RecordOrder: the host commits the order to the log. From then on the owner
//     of the target's service sends the target no new work (for orders that take
//     it out of service), whichever replica leads.
//  2. The host calls OrderRecorded or OrderNotRecorded. The planner waits until
//     the target has no requests in flight and checks the minimum of its service
//     again.
//  3. SendOrder: the host sends the order to the target, repeatedly and with the
//     same ID until its outcome is known.
//  4. CloseOrder: the host removes the order from the log. The target accepts
//     work again according to its announcement.
//
// A target has at most one order at a time, and an order is not replaced while
// its outcome is unknown. An order carries the leader's fencing token, so that a
// target that checks it refuses a former leader. For targets that do not check
// it, a new leader first adopts the recorded orders and waits until the lease of
// its predecessor has expired, and Step sends nothing once the leader's own lease
// has expired.
//
// All other state is read from the targets' reports. A new leader therefore cannot
// distinguish a model that was never ordered from an older build of the service,
// and counts such a target as serving until it has an order.
//
// Orders that move KV cache are not recorded: losing one or running it twice only
// costs time. A host that copies caches itself may answer ExportCache with Done at
// once and copy chat by chat from Peer when it has to send ImportCache.
//
// # Usage
//
//	planner := placement.New(placement.WithLeaderLease(5 * time.Second))
//	planner.Configure(now, config, domainsOut, targetsOut, pins)
//	planner.Observe(now, targets)
//	planner.BecomeLeader(now, fence, recorded)
//	for _, effect := range planner.Step(now, leaseUntil) {
//		switch e := effect.(type) {
//		case placement.RecordOrder: // commit e.Order, then call OrderRecorded
//		case placement.SendOrder:   // send before e.Until, then call OrderAnswered
//		case placement.CloseOrder:  // commit the removal
//		case placement.MoveChats:   // notify the owner of the chats' new target
//		case placement.Log, placement.Alarm:
//		}
//	}
package placement

import "time"

// Timing holds the delays and timeouts of a Planner.
type Timing struct {
	// LeaderLease is how long a new leader sends nothing after it takes over. It
	// must cover the longest time for which its predecessor may still act.
	LeaderLease time.Duration
	// LossGrace is how long a target may be missing or not ready before other
	// targets replace it.
	LossGrace time.Duration
	// PropagationDelay is the time after which all hosts know a recorded order.
	PropagationDelay time.Duration
	// DrainTimeout bounds how long an order waits for its target to drain.
	DrainTimeout time.Duration
	// ResendInterval is the time to wait for an answer before an order is sent
	// again. It doubles with each send, up to MaxResendInterval.
	ResendInterval    time.Duration
	MaxResendInterval time.Duration
	// OrderTimeout is the maximum duration of an order after it was first sent.
	OrderTimeout time.Duration
	// MaxReportLag is how far a target's report may lag behind its answer.
	MaxReportLag time.Duration
	// RetryBackoff is the pause after a target failed an order. It doubles with
	// each failure, up to MaxRetryBackoff.
	RetryBackoff    time.Duration
	MaxRetryBackoff time.Duration
	// WarmUpTimeout is the time after which a ready target counts as warm even if
	// it reports that it is cold.
	WarmUpTimeout time.Duration
	// ScaleUpDelay is how long a service must be overloaded before it gets another
	// target. It is also the time constant for smoothing the demand.
	ScaleUpDelay time.Duration
	// ScaleCooldown is the minimum time between two moves of a service's targets,
	// to it or away from it, that are made because of load.
	ScaleCooldown time.Duration
}

// DefaultTiming returns values for targets that load models in minutes and hosts
// that renew their leases every few seconds.
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

// Option configures a Planner.
type Option func(*Planner)

// WithTiming replaces all delays and timeouts.
func WithTiming(timing Timing) Option {
	return func(p *Planner) { p.timing = timing }
}

// WithLeaderLease sets how long a new leader sends nothing.
func WithLeaderLease(lease time.Duration) Option {
	return func(p *Planner) { p.timing.LeaderLease = lease }
}

// WithDefaultModelBytes sets the size in bytes that is assumed for a model until
// a target has reported its size.
func WithDefaultModelBytes(size int64) Option {
	return func(p *Planner) { p.modelBytes = size }
}

// WithUnload allows Unload orders, for targets that support them. Without it, a
// target above its service's maximum that no other service needs is left as it is.
func WithUnload() Option {
	return func(p *Planner) { p.canUnload = true }
}

// WithHandover sets the limits for moving chats off leaving targets.
func WithHandover(limits HandoverLimits) Option {
	return func(p *Planner) { p.handover.limits = limits }
}

// defaultModelBytes is the assumed size of a model that no target has reported.
const defaultModelBytes = 16 << 30
