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
	// expiryInterval is the pause between looks at the leases.
	expiryInterval = 100 * time.Millisecond
	// renewalGap is the longest time without a confirmed lead after which the
	// table of leases still counts.
	renewalGap = 500 * time.Millisecond
	// claimRetention is how long ended claims are kept.
	claimRetention = 7 * 24 * time.Hour
	// claimSweep is the pause between removals of old claims.
	claimSweep = 10 * time.Minute
)

// stateReplica is this host's replica of the state, and, on the leader, the
// table of leases.
type stateReplica struct {
	*state.Replica
	host    *Host
	log     *logrus.Logger
	clock   clockwork.Clock
	machine *registry.Machine
	replica *quorum.Replica

	mu     sync.Mutex
	leases *registry.Leases
	// term is the term for which leases holds; 0 while this replica does not
	// lead or has not applied all that earlier leaders committed.
	term uint64
	// confirmed is when the lead was last seen to be backed by a majority.
	confirmed time.Time
	// idle are the services that cannot serve, by the session that told it.
	idle map[uint64][]string
}

func openState(h *Host) (*stateReplica, error) {
	log := logs.Part(h.Log, "State")
	replica, err := state.Open(state.Config{
		Host: h.Settings.Host, Address: h.Settings.Peers, Folder: h.Settings.State.Folder,
		Node: h.node, Clock: h.Clock, Log: log,
		Bootstrap: h.Bootstrap, Cluster: h.Settings.State.Cluster, Replicas: h.Settings.StateReplicas, Restore: h.Restore,
	})
	if err != nil {
		return nil, err
	}
	return &stateReplica{
		Replica: replica, host: h, log: log, clock: h.Clock,
		machine: replica.Machine, replica: replica.Quorum,
		idle: map[uint64][]string{},
	}, nil
}

// renew extends a lease and answers when there is news, or when the wait is
// over. The lead is checked again before the answer: a leader that was paused
// or cut off renews nothing.
func (s *stateReplica) renew(m peer.RenewRequest, reply peer.Reply) {
	known, leads := s.extend(m)
	if !leads {
		reply(peer.RenewResponse{Code: peer.CodeNotLeader, Leader: s.Leader()})
		return
	}
	if !known {
		reply(peer.RenewResponse{Code: peer.CodeNoSession})
		return
	}
	s.awaitNews(m)
	if !s.replica.Leadership().Confirmed {
		reply(peer.RenewResponse{Code: peer.CodeNotLeader, Leader: s.Leader()})
		return
	}
	answer := peer.RenewResponse{Code: peer.CodeDone, IdleServices: s.idleServices()}
	if s.machine.View().Revision > m.Revision {
		answer.Delta = s.machine.EncodedDeltaSince(m.Revision, m.FleetVersion)
	}
	reply(answer)
}

// extend renews the lease in the table.
func (s *stateReplica) extend(m peer.RenewRequest) (known, leads bool) {
	lead := s.replica.Leadership()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !lead.Self || !lead.Confirmed || s.term != lead.Term {
		return false, false
	}
	now := s.clock.Now()
	s.leases.Follow(s.machine.View(), now)
	s.idle[m.Session] = m.IdleServices
	return s.leases.Renew(m.Session, now), true
}

// awaitNews waits for a newer view than the asking host's.
func (s *stateReplica) awaitNews(m peer.RenewRequest) {
	timer := s.clock.NewTimer(min(m.MaxWait, session.Lease))
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
		for _, service := range s.idle[host.Session] {
			if view.Owners[service].Session == host.Session {
				idle = append(idle, service)
			}
		}
	}
	slices.Sort(idle)
	return idle
}

// run follows the lead and closes sessions whose lease has ended.
func (s *stateReplica) run(ctx context.Context) {
	swept := s.clock.Now()
	ticks.Every(ctx, s.clock, expiryInterval, func(ctx context.Context) {
		term, leads := s.follow(ctx)
		if !leads {
			return
		}
		s.expire(ctx, term)
		if now := s.clock.Now(); now.Sub(swept) > claimSweep {
			swept = now
			s.sweep(ctx, now)
		}
	})
}

// follow starts a table of leases when this replica begins to lead, once it
// holds all that earlier leaders committed.
func (s *stateReplica) follow(ctx context.Context) (term uint64, leads bool) {
	lead := s.replica.Leadership()
	if !lead.Self {
		s.lead(0)
		return 0, false
	}
	if !lead.Confirmed {
		return 0, false
	}
	if s.goOn(lead.Term) {
		return lead.Term, true
	}
	barrier, cancel := clockwork.WithTimeout(ctx, s.clock, commitTimeout)
	defer cancel()
	if err := s.replica.Barrier(barrier); err != nil {
		return 0, false
	}
	s.lead(lead.Term)
	s.log.Infof("Leads in term %d.", lead.Term)
	return lead.Term, true
}

// leading returns the term in which this replica leads with a confirmed majority
// and holds all that earlier leaders committed.
func (s *stateReplica) leading() (term uint64, leads bool) {
	lead := s.replica.Leadership()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !lead.Self || !lead.Confirmed || s.term != lead.Term {
		return 0, false
	}
	return lead.Term, true
}

// goOn reports whether the table of leases is that of the term. After a gap in
// which nobody could renew, every session gets a whole lease again.
func (s *stateReplica) goOn(term uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		return false
	}
	now := s.clock.Now()
	if now.Sub(s.confirmed) > renewalGap {
		s.leases.Elected(now)
	}
	s.confirmed = now
	return true
}

func (s *stateReplica) lead(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == term {
		return
	}
	s.term = term
	s.confirmed = s.clock.Now()
	s.idle = map[uint64][]string{}
	s.leases = registry.NewLeases(registry.WithLease(session.Lease), registry.WithMargin(session.Margin))
	s.leases.Elected(s.clock.Now())
}

func (s *stateReplica) expire(ctx context.Context, term uint64) {
	now := s.clock.Now()
	s.mu.Lock()
	s.leases.Follow(s.machine.View(), now)
	expired := s.leases.Expired(now)
	s.mu.Unlock()
	for _, number := range expired {
		s.log.Warnf("Session %d has expired.", number)
		s.commit(ctx, registry.CloseSession{Session: number, Reason: registry.CloseExpired, Term: term})
	}
}

func (s *stateReplica) sweep(ctx context.Context, now time.Time) {
	s.commit(ctx, registry.ExpireClaims{
		Before: now.Add(-claimRetention),
		Now:    now,
		Sweeps: uint64(claimRetention / claimSweep / 2),
	})
}

// commit proposes the leader's own command; a later look repeats what failed.
func (s *stateReplica) commit(ctx context.Context, command registry.Command) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, commitTimeout)
	defer cancel()
	if _, err := s.replica.Propose(ctx, registry.EncodeCommand(command)); err != nil {
		s.log.Warnf("Command %T is not committed: %v.", command, err)
	}
}
