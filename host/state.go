package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/comfreytiller/state"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/session"
)

const (
	// commitTimeout bounds one proposal at the leader.
	commitTimeout = 2 * time.Second
	// expiryInterval is the pause between checks for expired leases.
	expiryInterval = 100 * time.Millisecond
	// maxRenewalGap is the maximum time without confirmed leadership after
	// which the lease table is still valid.
	maxRenewalGap = 500 * time.Millisecond
	// claimRetention is how long completed claims are kept.
	claimRetention = 7 * 24 * time.Hour
	// claimSweepInterval is the pause between removals of expired claims.
	claimSweepInterval = 10 * time.Minute
)

// stateReplica is this host's replica of the state. On the leader it also
// maintains the lease table.
type stateReplica struct {
	*state.Replica
	host    *Host
	log     *logrus.Logger
	clock   clockwork.Clock
	machine *registry.Machine
	replica *quorum.Replica

	mu     sync.Mutex
	leases *registry.Leases
	// leaseTerm is the term for which leases is valid; 0 while this replica is
	// not the leader or has not applied everything that earlier leaders
	// committed.
	leaseTerm uint64
	// lastConfirmed is when the leadership was last seen to be confirmed by a
	// majority.
	lastConfirmed time.Time
	// idleBySession holds the services that cannot serve, by the session that
	// reported them.
	idleBySession map[uint64][]string
}

func openStateReplica(h *Host) (*stateReplica, error) {
	log := logs.ForComponent(h.Log, "State")
	replica, err := state.Open(state.Config{
		Host: h.Settings.Host, Address: h.Settings.Peers, DataDir: h.Settings.State.Folder,
		Node: h.node, Clock: h.Clock, Log: log,
		Bootstrap: h.Bootstrap, ClusterName: h.Settings.State.Cluster, Replicas: h.Settings.StateReplicas, Restore: h.Restore,
	})
	if err != nil {
		return nil, err
	}
	return &stateReplica{
		Replica: replica, host: h, log: log, clock: h.Clock,
		machine: replica.Machine, replica: replica.Quorum,
		idleBySession: map[uint64][]string{},
	}, nil
}

// renew extends a lease and replies when the view has changed or the wait is
// over. The leadership is checked again before the reply, so that a leader that
// was paused or partitioned does not renew a lease.
func (s *stateReplica) renew(m peer.RenewRequest, reply peer.Reply) {
	known, isLeader := s.extendLease(m)
	if !isLeader {
		reply(peer.RenewResponse{Code: peer.CodeNotLeader, Leader: s.LeaderAddress()})
		return
	}
	if !known {
		reply(peer.RenewResponse{Code: peer.CodeNoSession})
		return
	}
	s.awaitNewerView(m)
	if !s.replica.Leadership().Confirmed {
		reply(peer.RenewResponse{Code: peer.CodeNotLeader, Leader: s.LeaderAddress()})
		return
	}
	answer := peer.RenewResponse{Code: peer.CodeDone, IdleServices: s.idleServices()}
	if s.machine.View().Revision > m.Revision {
		answer.Delta = s.machine.EncodedDeltaSince(m.Revision, m.FleetVersion)
	}
	reply(answer)
}

// extendLease renews the lease in the table.
func (s *stateReplica) extendLease(m peer.RenewRequest) (known, isLeader bool) {
	leadership := s.replica.Leadership()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !leadership.IsLeader || !leadership.Confirmed || s.leaseTerm != leadership.Term {
		return false, false
	}
	now := s.clock.Now()
	s.leases.SyncSessions(s.machine.View(), now)
	s.idleBySession[m.Session] = m.IdleServices
	return s.leases.Renew(m.Session, now), true
}

// awaitNewerView waits for a view newer than the caller's.
func (s *stateReplica) awaitNewerView(m peer.RenewRequest) {
	timer := s.clock.NewTimer(min(m.MaxWait, session.LeaseDuration))
	defer timer.Stop()
	for {
		changed := s.machine.Changed()
		if s.machine.View().Revision > m.Revision {
			return
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return
		}
	}
}

func (s *stateReplica) idleServices() []string {
	view := s.machine.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []string
	for _, host := range view.Hosts {
		for _, service := range s.idleBySession[host.Session] {
			if view.Owners[service].Session == host.Session {
				idle = append(idle, service)
			}
		}
	}
	slices.Sort(idle)
	return idle
}

// run tracks the leadership and closes sessions whose lease has expired.
func (s *stateReplica) run(ctx context.Context) {
	lastSweep := s.clock.Now()
	ticks.Every(ctx, s.clock, expiryInterval, func(ctx context.Context) {
		term, isLeader := s.trackLeadership(ctx)
		if !isLeader {
			return
		}
		s.closeExpiredSessions(ctx, term)
		if now := s.clock.Now(); now.Sub(lastSweep) > claimSweepInterval {
			lastSweep = now
			s.expireClaims(ctx, now)
		}
	})
}

// trackLeadership creates a lease table when this replica becomes the leader,
// after it has applied everything that earlier leaders committed.
func (s *stateReplica) trackLeadership(ctx context.Context) (term uint64, isLeader bool) {
	leadership := s.replica.Leadership()
	if !leadership.IsLeader {
		s.setTerm(0)
		return 0, false
	}
	if !leadership.Confirmed {
		return 0, false
	}
	if s.continueTerm(leadership.Term) {
		return leadership.Term, true
	}
	barrier, cancel := clockwork.WithTimeout(ctx, s.clock, commitTimeout)
	defer cancel()
	if err := s.replica.Barrier(barrier); err != nil {
		return 0, false
	}
	s.setTerm(leadership.Term)
	s.log.Infof("This replica is the leader in term %d.", leadership.Term)
	return leadership.Term, true
}

// leadingTerm returns the term in which this replica is the leader, confirmed
// by a majority, and has applied everything that earlier leaders committed.
func (s *stateReplica) leadingTerm() (term uint64, isLeader bool) {
	leadership := s.replica.Leadership()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !leadership.IsLeader || !leadership.Confirmed || s.leaseTerm != leadership.Term {
		return 0, false
	}
	return leadership.Term, true
}

// continueTerm reports whether the lease table belongs to the term. After a gap
// in which no session could renew, every session gets a full lease again.
func (s *stateReplica) continueTerm(term uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseTerm != term {
		return false
	}
	now := s.clock.Now()
	if now.Sub(s.lastConfirmed) > maxRenewalGap {
		s.leases.StartTerm(now)
	}
	s.lastConfirmed = now
	return true
}

func (s *stateReplica) setTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseTerm == term {
		return
	}
	s.leaseTerm = term
	s.lastConfirmed = s.clock.Now()
	s.idleBySession = map[uint64][]string{}
	s.leases = registry.NewLeases(registry.WithLeaseDuration(session.LeaseDuration), registry.WithMargin(session.ClockMargin))
	s.leases.StartTerm(s.clock.Now())
}

func (s *stateReplica) closeExpiredSessions(ctx context.Context, term uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	s.leases.SyncSessions(s.machine.View(), now)
	expired := s.leases.Expired(now)
	s.mu.Unlock()
	for _, sessionNumber := range expired {
		s.log.Warnf("Session %d has expired.", sessionNumber)
		s.proposeCommand(ctx, registry.CloseSession{Session: sessionNumber, Reason: registry.CloseExpired, Term: term})
	}
}

func (s *stateReplica) expireClaims(ctx context.Context, now time.Time) {
	s.proposeCommand(ctx, registry.ExpireClaims{
		Before:    now.Add(-claimRetention),
		Now:       now,
		MinSweeps: uint64(claimRetention / claimSweepInterval / 2),
	})
}

// proposeCommand proposes a command of the leader. Failed commands are repeated
// by a later iteration of run.
func (s *stateReplica) proposeCommand(ctx context.Context, command registry.Command) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, commitTimeout)
	defer cancel()
	if _, err := s.replica.Propose(ctx, registry.EncodeCommand(command)); err != nil {
		s.log.Warnf("Cannot commit command %T: %v.", command, err)
	}
}
