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
	// placementInterval is the pause between decisions on placement.
	placementInterval = 500 * time.Millisecond
	// placementAuthority is how long a decision may be acted on after the lead
	// was confirmed; a new leader waits for longer than that.
	placementAuthority = time.Second
	// digestLife is how long a host's digest counts.
	digestLife = 3 * digestRefresh
)

// placer runs placement on the state leader.
type placer struct {
	host    *Host
	log     *logrus.Logger
	clock   clockwork.Clock
	planner *placement.Planner

	mu      sync.Mutex
	digests map[string]hostDigest
	// answers are the targets' replies on their way to the planner.
	answers []placement.OrderReply
	// recorded are the fences of orders that the log has taken; 0 for refused.
	recorded map[string]uint64
	status   placement.Status

	// term is the term of the lead that the planner has; 0 for none.
	term uint64
	// listening is the term whose digests are kept.
	listening uint64
	revision  uint64
}

// hostDigest is the newest digest of a host.
type hostDigest struct {
	digest peer.Digest
	taken  time.Time
}

func newPlacer(h *Host) *placer {
	return &placer{
		host:     h,
		log:      logs.Part(h.Log, "Placement"),
		clock:    h.Clock,
		planner:  placement.New(placement.WithTimes(placementTimes()), placement.WithUnload()),
		digests:  map[string]hostDigest{},
		recorded: map[string]uint64{},
	}
}

// placementTimes are the planner's waits: a decision is acted on for less than a
// lease, and after a lease every host that may give work knows of an order.
func placementTimes() placement.Times {
	times := placement.DefaultTimes()
	times.AuthorityWait = session.Lease
	times.DrainSettle = session.Lease
	return times
}

// take keeps a host's digest while this replica leads.
func (p *placer) take(m peer.Digest, reply peer.Reply) {
	if _, leads := p.lead(); !leads {
		reply(peer.Failure{Message: "this host does not lead the state replicas"})
		return
	}
	p.mu.Lock()
	p.digests[m.Host] = hostDigest{digest: m, taken: p.clock.Now()}
	p.mu.Unlock()
	reply(peer.Ack{})
}

// tellStatus answers with the newest status of placement.
func (p *placer) tellStatus(reply peer.Reply) {
	if _, leads := p.lead(); !leads {
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

// lead returns the term in which this replica leads with a confirmed majority
// and holds all that earlier leaders committed.
func (p *placer) lead() (uint64, bool) {
	if p.host.state == nil {
		return 0, false
	}
	return p.host.state.leading()
}

func (p *placer) run(ctx context.Context) {
	if p.host.state == nil {
		return
	}
	ticks.Every(ctx, p.clock, placementInterval, p.step)
}

func (p *placer) step(ctx context.Context) {
	term, leads := p.lead()
	if p.term != 0 && p.term != p.host.state.replica.Leadership().Term {
		p.planner.Resign()
		p.term = 0
	}
	if !leads {
		return
	}
	now := p.clock.Now()
	view := p.host.state.machine.View()
	p.listen(term)
	if view.Fleet == nil || !p.heardAll(view, now) {
		return
	}
	p.feed(now, view)
	if p.term != term {
		p.start(now, term)
	}
	for _, effect := range p.planner.Step(now, now.Add(placementAuthority)) {
		p.carryOut(ctx, effect)
	}
	status := p.planner.Status(now)
	p.mu.Lock()
	p.status = status
	p.mu.Unlock()
}

// listen forgets the digests of an earlier lead.
func (p *placer) listen(term uint64) {
	if p.listening == term {
		return
	}
	p.listening, p.revision = term, 0
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digests = map[string]hostDigest{}
	p.answers = nil
	p.recorded = map[string]uint64{}
}

// start begins a lead: the log holds the orders that earlier leaders may have
// sent. The fence is an index of the log, so that it is above theirs.
func (p *placer) start(now time.Time, term uint64) {
	p.term = term
	var outstanding, failed []placement.Order
	for _, order := range p.host.state.machine.Orders() {
		switch order.State {
		case registry.OrderPending:
			outstanding = append(outstanding, fromRegistry(order))
		case registry.OrderFailed:
			failed = append(failed, fromRegistry(order))
		}
	}
	fence := p.host.state.replica.Status().Commit
	p.planner.Lead(now, fence, outstanding)
	for _, order := range failed {
		p.planner.RememberFailure(order)
	}
	p.log.Infof("Plans in term %d with fence %d and %d outstanding orders.", term, fence, len(outstanding))
}

// heardAll reports whether every owner has sent its digest under this lead:
// before, a target that is not named would count as missing.
func (p *placer) heardAll(view *registry.View, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, heard := range p.digests {
		if now.Sub(heard.taken) > digestLife {
			delete(p.digests, name)
		}
	}
	for _, owner := range view.Owners {
		heard, ok := p.digests[owner.Host]
		if !ok || heard.digest.Session != owner.Session {
			return false
		}
	}
	return true
}

// feed gives the planner what has changed.
func (p *placer) feed(now time.Time, view *registry.View) {
	if view.Revision != p.revision {
		p.planner.Configure(now, view.Fleet, view.DomainsOut, view.TargetsOut, view.Pins)
		p.revision = view.Revision
	}
	states, services, answers, recorded := p.collect()
	p.planner.Observe(now, states)
	for _, service := range services {
		p.planner.Pressure(now, service.Name, service.Queued, service.InFlight)
	}
	for id, fence := range recorded {
		if fence > 0 {
			p.planner.OrderRecorded(now, id, fence)
		} else {
			p.planner.OrderRefused(now, id)
		}
	}
	for _, answer := range answers {
		p.planner.OrderAnswered(now, answer)
	}
}

func (p *placer) collect() ([]placement.TargetState, []peer.DigestService, []placement.OrderReply, map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := map[string]peer.DigestTarget{}
	var services []peer.DigestService
	for _, heard := range p.digests {
		for _, t := range heard.digest.Targets {
			known, ok := newest[t.Announcement.Name]
			if !ok || t.Announcement.After(known.Announcement.Stamp) {
				newest[t.Announcement.Name] = t
			}
		}
		services = append(services, heard.digest.Services...)
	}
	states := make([]placement.TargetState, 0, len(newest))
	for _, t := range newest {
		states = append(states, stateOf(t))
	}
	answers, recorded := p.answers, p.recorded
	p.answers, p.recorded = nil, map[string]uint64{}
	return states, services, answers, recorded
}

func stateOf(t peer.DigestTarget) placement.TargetState {
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
		MovesCache:    a.MovesCache,
	}
}
