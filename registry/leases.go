package registry

import (
	"slices"
	"time"
)

// Default lease parameters.
const (
	// DefaultLeaseDuration is the duration of a lease, counted from the time at
	// which its renewal is sent.
	DefaultLeaseDuration = 3 * time.Second
	// DefaultRenewalInterval is the time between two lease renewals.
	DefaultRenewalInterval = time.Second
	// DefaultMargin covers the drift between two clocks during a lease and a
	// process pause between a check of the lease and the action that it permits.
	DefaultMargin = 500 * time.Millisecond
	// DefaultElectionTimeout is the maximum time that a leader may continue to
	// act as leader after its last contact with a quorum.
	DefaultElectionTimeout = time.Second
)

// Leases is the leader's table of session leases. It is discarded when the
// leadership is lost. It is not safe for concurrent use. All times must come
// from the same monotonic clock.
type Leases struct {
	duration        time.Duration
	margin          time.Duration
	electionTimeout time.Duration
	// formerLeaderRenewedUntil is the latest time at which the former leader may
	// have renewed a lease.
	formerLeaderRenewedUntil time.Time
	sessions                 map[uint64]lease
}

// lease is the leader's record of one session.
type lease struct {
	// lastRenewal is the latest time at which the host can have sent its last
	// successful renewal.
	lastRenewal time.Time
	// renewalBlocked is set once the session is superseded or Expired has returned
	// it. No renewal succeeds after that.
	renewalBlocked bool
}

// LeaseOption configures Leases.
type LeaseOption func(*Leases)

// WithLeaseDuration sets the duration of a lease. It defaults to
// DefaultLeaseDuration.
func WithLeaseDuration(duration time.Duration) LeaseOption {
	return func(l *Leases) { l.duration = duration }
}

// WithMargin sets the safety margin between the end of a lease and the expiry of
// its session. It defaults to DefaultMargin.
func WithMargin(margin time.Duration) LeaseOption {
	return func(l *Leases) { l.margin = margin }
}

// WithElectionTimeout sets the maximum time for which a former leader may have
// renewed leases after it lost its quorum. It defaults to
// DefaultElectionTimeout.
func WithElectionTimeout(timeout time.Duration) LeaseOption {
	return func(l *Leases) { l.electionTimeout = timeout }
}

// NewLeases returns an empty table. No session expires before StartTerm is called.
func NewLeases(options ...LeaseOption) *Leases {
	leases := &Leases{
		duration:        DefaultLeaseDuration,
		margin:          DefaultMargin,
		electionTimeout: DefaultElectionTimeout,
		sessions:        map[uint64]lease{},
	}
	for _, option := range options {
		option(leases)
	}
	return leases
}

// StartTerm resets the table at the start of a leadership. Call it once per term,
// when the local state contains all entries committed in earlier terms, and then
// call SyncSessions. A leader that temporarily loses contact with its quorum and
// keeps its term must keep its table: an expiry proposed in the same term may
// still be in flight, and the session must not be renewed.
//
// The former leader may have renewed leases until it noticed the loss of its
// quorum, at most one election timeout after now.
func (l *Leases) StartTerm(now time.Time) {
	l.formerLeaderRenewedUntil = now.Add(l.electionTimeout)
	l.sessions = map[uint64]lease{}
}

// SyncSessions adds the sessions that a view contains, removes all others, and
// blocks the renewal of closing sessions. The leader calls it with each new view.
func (l *Leases) SyncSessions(view *View, now time.Time) {
	open := make(map[uint64]bool, len(view.Hosts)+len(view.Closing))
	for _, host := range view.Hosts {
		open[host.Session] = true
		l.add(host.Session, now)
	}
	for session := range view.Closing {
		open[session] = true
		l.add(session, now)
		l.supersede(session)
	}
	for session := range l.sessions {
		if !open[session] {
			delete(l.sessions, session)
		}
	}
}

func (l *Leases) add(session uint64, now time.Time) {
	if _, known := l.sessions[session]; known {
		return
	}
	renewed := now
	if l.formerLeaderRenewedUntil.After(now) {
		renewed = l.formerLeaderRenewedUntil
	}
	l.sessions[session] = lease{lastRenewal: renewed}
}

func (l *Leases) supersede(session uint64) {
	current := l.sessions[session]
	current.renewalBlocked = true
	l.sessions[session] = current
}

// Renew extends the lease of a session at the time at which its renewal arrived.
// It reports false when the session is unknown, superseded or being expired; the
// lease is then not extended. The caller must confirm its leadership after Renew
// and before it replies.
func (l *Leases) Renew(session uint64, now time.Time) bool {
	current, known := l.sessions[session]
	if !known || current.renewalBlocked {
		return false
	}
	if now.After(current.lastRenewal) {
		current.lastRenewal = now
		l.sessions[session] = current
	}
	return true
}

// Expired returns the sessions whose leases ended at least one margin ago, in
// ascending order, and blocks their renewal. It returns them again until
// SyncSessions removes them.
func (l *Leases) Expired(now time.Time) []uint64 {
	var expired []uint64
	for session, current := range l.sessions {
		if now.Before(current.lastRenewal.Add(l.duration + l.margin)) {
			continue
		}
		current.renewalBlocked = true
		l.sessions[session] = current
		expired = append(expired, session)
	}
	slices.Sort(expired)
	return expired
}
