package registry

import (
	"slices"
	"time"
)

// Defaults of the lease of a session.
const (
	// DefaultLeaseDuration is how long a lease lasts from the sending of its renewal.
	DefaultLeaseDuration = 3 * time.Second
	// DefaultRenewalInterval is the time between two renewals.
	DefaultRenewalInterval = time.Second
	// DefaultMargin covers the difference of two clocks' rates over a lease and
	// a pause between a check of the lease and the step that it allows.
	DefaultMargin = 500 * time.Millisecond
	// DefaultElectionTimeout is the longest time that a leader may believe in
	// its lead after the last sign of its majority.
	DefaultElectionTimeout = time.Second
)

// Leases is the leader's table of the sessions' leases. It is lost with the
// leadership. It is not safe for concurrent use; times are of one monotonic
// clock.
type Leases struct {
	lease           time.Duration
	margin          time.Duration
	electionTimeout time.Duration
	// formerEnd is the latest time at which the former leader may have renewed
	// a lease.
	formerEnd time.Time
	sessions  map[uint64]lease
}

// lease is what the leader knows about one session.
type lease struct {
	// renewed is the latest time at which the host can have sent its last
	// successful renewal.
	renewed time.Time
	// ending is set once the session is superseded or Expired has named it. No
	// renewal succeeds after that.
	ending bool
}

// LeaseOption changes a Leases.
type LeaseOption func(*Leases)

// WithLeaseDuration sets how long a lease lasts.
func WithLeaseDuration(lease time.Duration) LeaseOption {
	return func(l *Leases) { l.lease = lease }
}

// WithMargin sets the time between a lease's end and the session's expiry.
func WithMargin(margin time.Duration) LeaseOption {
	return func(l *Leases) { l.margin = margin }
}

// WithElectionTimeout sets the longest time that a former leader may have
// renewed leases after it lost its majority.
func WithElectionTimeout(timeout time.Duration) LeaseOption {
	return func(l *Leases) { l.electionTimeout = timeout }
}

// NewLeases returns an empty table. No session expires before Elected.
func NewLeases(options ...LeaseOption) *Leases {
	leases := &Leases{
		lease:           DefaultLeaseDuration,
		margin:          DefaultMargin,
		electionTimeout: DefaultElectionTimeout,
		sessions:        map[uint64]lease{},
	}
	for _, option := range options {
		option(leases)
	}
	return leases
}

// StartTerm starts a leadership. Call it once in each term, when the local state
// holds everything committed in earlier terms, and then Follow. A leader that
// was unsure of its majority for a while keeps its table: an expiry of the same
// term may still be on its way, and its session must not be renewed.
//
// The former leader may have renewed a lease until it noticed the loss of its
// majority, at most an election timeout after now.
func (l *Leases) StartTerm(now time.Time) {
	l.formerEnd = now.Add(l.electionTimeout)
	l.sessions = map[uint64]lease{}
}

// SyncSessions adds the sessions that a view opens and forgets those that it closes.
// The leader calls it with each new view.
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
	if l.formerEnd.After(now) {
		renewed = l.formerEnd
	}
	l.sessions[session] = lease{renewed: renewed}
}

func (l *Leases) supersede(session uint64) {
	current := l.sessions[session]
	current.ending = true
	l.sessions[session] = current
}

// Renew extends the lease of a session at the time its renewal arrived. It
// reports false when the session is unknown, superseded or being expired: the
// host then has no new lease. The caller confirms the leadership after Renew
// and before it answers.
func (l *Leases) Renew(session uint64, now time.Time) bool {
	current, known := l.sessions[session]
	if !known || current.ending {
		return false
	}
	if now.After(current.renewed) {
		current.renewed = now
		l.sessions[session] = current
	}
	return true
}

// Expired returns the sessions whose leases have ended at least a margin ago,
// in ascending order. It names them again until Follow sees them closed.
func (l *Leases) Expired(now time.Time) []uint64 {
	var expired []uint64
	for session, current := range l.sessions {
		if now.Before(current.renewed.Add(l.lease + l.margin)) {
			continue
		}
		current.ending = true
		l.sessions[session] = current
		expired = append(expired, session)
	}
	slices.Sort(expired)
	return expired
}
