package host

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/placement"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/session"
)

const (
	// placementInterval is the pause between placement decisions.
	placementInterval = 500 * time.Millisecond
	// decisionValidity is how long a decision may be acted on after the
	// leadership was confirmed. A new leader waits longer than that.
	decisionValidity = time.Second
	// digestTTL is the time after which a host's digest expires.
	digestTTL = 3 * digestRefreshInterval
)

// placementController runs the placement planner on the leader of the state
// replicas.
type placementController struct {
	host    *Host
	log     *logrus.Logger
	clock   clockwork.Clock
	planner *placement.Planner

	mu      sync.Mutex
	digests map[string]hostDigest
	// orderReplies holds the replies of targets that have not been passed to
	// the planner.
	orderReplies []placement.OrderReply
	// orderFences holds, by order ID, the fencing tokens of newly recorded
	// orders; 0 if recording failed.
	orderFences map[string]uint64
	status      placement.Status

	// plannerTerm is the term in which the planner is active; 0 if it is not.
	plannerTerm uint64
	// digestTerm is the term in which the digests were received.
	digestTerm         uint64
	configuredRevision uint64
}

// hostDigest is the latest digest of a host.
type hostDigest struct {
	digest     peer.Digest
	receivedAt time.Time
}

func newPlacementController(h *Host) *placementController {
	return &placementController{
		host:        h,
		log:         logs.ForComponent(h.Log, "Placement"),
		clock:       h.Clock,
		planner:     placement.New(placement.WithTiming(placementTiming()), placement.WithUnload()),
		digests:     map[string]hostDigest{},
		orderFences: map[string]uint64{},
	}
}

// placementTiming returns the timing of the planner. Decisions are acted on for
// less than a lease, and after a lease every host that may send work knows
// about a pending order.
func placementTiming() placement.Timing {
	times := placement.DefaultTiming()
	times.LeaderLease = session.LeaseDuration
	times.PropagationDelay = session.LeaseDuration
	return times
}

// handleDigest stores a host's digest if this replica is the leader.
func (p *placementController) handleDigest(m peer.Digest, reply peer.Reply) {
	if _, isLeader := p.leadingTerm(); !isLeader {
		reply(peer.Failure{Message: "this host does not lead the state replicas"})
		return
	}
	p.mu.Lock()
	p.digests[m.Host] = hostDigest{digest: m, receivedAt: p.clock.Now()}
	p.mu.Unlock()
	reply(peer.Ack{})
}

// replyStatus replies with the latest placement status.
func (p *placementController) replyStatus(reply peer.Reply) {
	if _, isLeader := p.leadingTerm(); !isLeader {
		reply(peer.Failure{Message: "this host does not lead the state replicas"})
		return
	}
	p.mu.Lock()
	status := p.status
	p.mu.Unlock()
	data, err := encodePlacement(status)
	if err != nil {
		reply(peer.Failure{Message: err.Error()})
		return
	}
	reply(peer.StatusResponse{Status: data})
}

// leadingTerm returns the term in which this replica is the leader, confirmed
// by a majority, and has applied everything that earlier leaders committed.
func (p *placementController) leadingTerm() (uint64, bool) {
	if p.host.state == nil {
		return 0, false
	}
	return p.host.state.leadingTerm()
}

func (p *placementController) run(ctx context.Context) {
	if p.host.state == nil {
		return
	}
	ticks.Every(ctx, p.clock, placementInterval, p.step)
}

func (p *placementController) step(ctx context.Context) {
	term, isLeader := p.leadingTerm()
	if p.plannerTerm != 0 && p.plannerTerm != p.host.state.replica.Leadership().Term {
		p.planner.StepDown()
		p.plannerTerm = 0
	}
	if !isLeader {
		return
	}
	now := p.clock.Now()
	view := p.host.state.machine.View()
	p.resetForTerm(term)
	if view.Fleet == nil || !p.hasAllDigests(view, now) {
		return
	}
	p.updatePlanner(now, view)
	if p.plannerTerm != term {
		p.startPlanning(now, term)
	}
	for _, effect := range p.planner.Step(now, now.Add(decisionValidity)) {
		p.execute(ctx, effect)
	}
	status := p.planner.Status(now)
	p.mu.Lock()
	p.status = status
	p.mu.Unlock()
}

// resetForTerm discards the digests and replies of an earlier term.
func (p *placementController) resetForTerm(term uint64) {
	if p.digestTerm == term {
		return
	}
	p.digestTerm, p.configuredRevision = term, 0
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digests = map[string]hostDigest{}
	p.orderReplies = nil
	p.orderFences = map[string]uint64{}
}

// startPlanning starts the planner with the orders in the replicated state,
// which earlier leaders may have sent. The fencing token is a log index, so it
// is higher than those of earlier leaders.
func (p *placementController) startPlanning(now time.Time, term uint64) {
	p.plannerTerm = term
	var outstanding, failed []placement.Order
	for _, order := range p.host.state.machine.Orders() {
		switch order.State {
		case registry.OrderPending:
			outstanding = append(outstanding, plannerOrder(order))
		case registry.OrderFailed:
			failed = append(failed, plannerOrder(order))
		}
	}
	fence := p.host.state.replica.Status().CommitIndex
	p.planner.BecomeLeader(now, fence, outstanding)
	for _, order := range failed {
		p.planner.RestoreFailure(order)
	}
	p.log.Infof("Planning placement in term %d with fencing token %d and %d outstanding orders.", term, fence, len(outstanding))
}

// hasAllDigests reports whether every owner has sent a digest in this term.
// Before that, targets without a report would be considered missing.
func (p *placementController) hasAllDigests(view *registry.View, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, received := range p.digests {
		if now.Sub(received.receivedAt) > digestTTL {
			delete(p.digests, name)
		}
	}
	for _, owner := range view.Owners {
		received, ok := p.digests[owner.Host]
		if !ok || received.digest.Session != owner.Session {
			return false
		}
	}
	return true
}

// updatePlanner passes changes to the planner.
func (p *placementController) updatePlanner(now time.Time, view *registry.View) {
	if view.Revision != p.configuredRevision {
		p.planner.Configure(now, view.Fleet, view.DomainsOut, view.TargetsOut, view.Pins)
		p.configuredRevision = view.Revision
	}
	states, services, replies, fences := p.collectInputs()
	p.planner.Observe(now, states)
	for _, service := range services {
		p.planner.ObserveDemand(now, service.Name, service.Queued, service.InFlight)
	}
	for id, fence := range fences {
		if fence > 0 {
			p.planner.OrderRecorded(now, id, fence)
		} else {
			p.planner.OrderNotRecorded(now, id)
		}
	}
	for _, reply := range replies {
		p.planner.OrderAnswered(now, reply)
	}
}

func (p *placementController) collectInputs() ([]placement.TargetState, []peer.DigestService, []placement.OrderReply, map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := map[string]peer.DigestTarget{}
	var services []peer.DigestService
	for _, received := range p.digests {
		for _, t := range received.digest.Targets {
			known, ok := latest[t.Announcement.Name]
			if !ok || t.Announcement.After(known.Announcement.Stamp) {
				latest[t.Announcement.Name] = t
			}
		}
		services = append(services, received.digest.Services...)
	}
	states := make([]placement.TargetState, 0, len(latest))
	for _, t := range latest {
		states = append(states, targetState(t))
	}
	replies, fences := p.orderReplies, p.orderFences
	p.orderReplies, p.orderFences = nil, map[string]uint64{}
	return states, services, replies, fences
}

func targetState(t peer.DigestTarget) placement.TargetState {
	a := t.Announcement
	return placement.TargetState{
		Name:          a.Name,
		Incarnation:   a.Incarnation,
		FailureDomain: a.FailureDomain,
		Kind:          a.Kind,
		Service:       a.Service,
		Model:         a.Model,
		Version:       a.Version,
		Adapters:      a.Adapters,
		Role:          a.Role,
		Ready:         t.Ready,
		Cold:          t.Cold,
		Leaving:       t.Leaving,
		InFlight:      t.InFlight,
		CachedChats:   t.WarmChats,
		MovesCache:    a.SupportsCacheTransfer,
	}
}
