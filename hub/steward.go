package hub

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
)

const (
	// stewardInterval is the pause between looks at the membership.
	stewardInterval = 100 * time.Millisecond
	// joinTimeout bounds one question to another hub.
	joinTimeout = 500 * time.Millisecond
	// joinLasts is how long a wish to join counts without being repeated.
	joinLasts = 2 * time.Second
	// changeTimeout bounds one change of the membership, catch-up included.
	changeTimeout = 4 * time.Second
	// lostAfter is the silence after which a voter gives its place to a replica
	// that waits for one. A restart or a freeze of some seconds is shorter.
	lostAfter = 8 * time.Second
)

// steward keeps the cluster's membership: it asks for this host's own place, and
// on the leader it gives places to those who ask.
type steward struct {
	hub *Hub

	mu sync.Mutex
	// seeds are the replicas of the settings.
	seeds []string
	// wishes are the replicas that ask for a place, by ID.
	wishes map[string]wish
	// led is since when this replica leads; silence is counted from then on.
	led time.Time
}

// wish is a replica that asks for a place.
type wish struct {
	peer.JoinRequest
	at time.Time
}

func newSteward(h *Hub) *steward {
	return &steward{hub: h, seeds: h.Settings.StateReplicas, wishes: map[string]wish{}}
}

// use replaces the replicas of the settings.
func (s *steward) use(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = addresses
}

// ask records a wish for a place. Who asks may not know the leader, so the wish
// is passed on once.
func (s *steward) ask(m peer.JoinRequest) {
	leader := s.hub.replica.Leader()
	if !m.Forwarded && leader != "" && leader != s.hub.Settings.Peers {
		m.Forwarded = true
		s.hub.node.Send(leader, m)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wishes[m.ID] = wish{JoinRequest: m, at: s.hub.Clock.Now()}
}

// run asks for the own place and, on the leader, gives places.
func (s *steward) run(ctx context.Context) {
	ticks.Every(ctx, s.hub.Clock, stewardInterval, func(ctx context.Context) {
		lead := s.hub.replica.Quorum.Leadership()
		if !lead.Self {
			s.led = time.Time{}
			s.askForPlace()
			return
		}
		if s.led.IsZero() {
			s.led = s.hub.Clock.Now()
		}
		if lead.Confirmed {
			s.give(ctx)
		}
	})
}

// askForPlace tells the leader, or the other hubs while none is known, that this
// replica is no voter.
func (s *steward) askForPlace() {
	status := s.hub.replica.Quorum.Status()
	for _, member := range status.Members {
		if member.ID == status.ID && member.Voter {
			return
		}
	}
	request := peer.JoinRequest{ID: status.ID, Host: s.hub.Settings.Host, Address: s.hub.Settings.Peers}
	asked := map[string]bool{s.hub.Settings.Peers: true}
	s.mu.Lock()
	addresses := append(s.hub.replicas(), s.seeds...)
	s.mu.Unlock()
	for _, address := range addresses {
		if asked[address] {
			continue
		}
		asked[address] = true
		s.hub.node.Send(address, request)
	}
}

// give carries out at most one change of the membership.
func (s *steward) give(ctx context.Context) {
	change := s.next()
	if change == nil {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.hub.Clock, changeTimeout)
	defer cancel()
	if err := change(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		s.hub.log.Warnf("Membership stays as it is: %v.", err)
	}
}

// next returns the change that is due, nil for none.
func (s *steward) next() func(context.Context) error {
	status := s.hub.replica.Quorum.Status()
	replica := s.hub.replica.Quorum
	if surplus := Surplus(status, s.hub.voters(), s.lost(status)); surplus != "" {
		s.hub.log.WithField("Replica", surplus).Info("Membership: A voter that was replaced goes.")
		return func(ctx context.Context) error { return replica.Remove(ctx, surplus) }
	}
	for _, wanted := range s.fresh() {
		plan := Plan(status, wanted, s.hub.voters(), s.lost(status))
		member := quorum.Member{ID: wanted.ID, Host: wanted.Host, Address: wanted.Address}
		switch plan.Step {
		case StepAdmit:
			s.logPlan(plan, member)
			return func(ctx context.Context) error { return replica.Admit(ctx, member) }
		case StepReplace:
			s.logPlan(plan, member)
			return func(ctx context.Context) error { return replica.Replace(ctx, plan.Replaced, member) }
		case StepLearn:
			s.logPlan(plan, member)
			return func(ctx context.Context) error { return replica.AddLearner(ctx, member) }
		}
	}
	return nil
}

func (s *steward) logPlan(plan Change, member quorum.Member) {
	s.hub.log.WithFields(map[string]any{
		"Step": plan.Step, "Replica": member.ID, "Host": member.Host, "Replaced": plan.Replaced,
	}).Infof("Membership: %s of host %s.", plan.Step, member.Host)
}

// fresh returns the wishes that were repeated lately.
func (s *steward) fresh() []wish {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.hub.Clock.Now()
	var wishes []wish
	for id, wanted := range s.wishes {
		if now.Sub(wanted.at) > joinLasts {
			delete(s.wishes, id)
			continue
		}
		wishes = append(wishes, wanted)
	}
	return wishes
}

// lost returns a voter that has been silent for long, "" for none.
func (s *steward) lost(status quorum.Status) string {
	now := s.hub.Clock.Now()
	for _, member := range status.Members {
		heard := member.LastContact
		if heard.Before(s.led) {
			heard = s.led
		}
		if member.Voter && member.ID != status.ID && now.Sub(heard) > lostAfter {
			return member.ID
		}
	}
	return ""
}
