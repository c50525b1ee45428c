package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
)

// Planner decides placement for the whole fleet. Its methods must be called from
// one goroutine, with times that do not go back.
type Planner struct {
	times      Timing
	modelBytes int64
	unloads    bool

	text       *fleet.Fleet
	services   []*service
	byName     map[string]*service
	domainsOut map[string]bool
	targetsOut map[string]bool
	pins       map[string]string

	engines    map[string]*engine
	names      []string
	observedAt time.Time
	// firstObserved is when this planner began to learn of targets.
	firstObserved time.Time

	leading   bool
	fence     uint64
	counter   uint64
	sendAfter time.Time
	until     time.Time
	orders    []*pending
	store     store
	handover  handover

	effects []Effect
	alarms  alarmSet
	waits   map[string]string
}

// New returns a planner that knows no fleet and does not lead.
func New(options ...Option) *Planner {
	p := &Planner{
		times:      DefaultTiming(),
		modelBytes: defaultModelBytes,
		byName:     map[string]*service{},
		engines:    map[string]*engine{},
		store:      store{sizes: map[string]int64{}},
		handover:   newHandover(),
		waits:      map[string]string{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Configure replaces the fleet text, the failure domains and targets that are
// taken out, and the pins (target to service; an empty service leaves the target
// as it is). A new build of a service starts its roll, also after a stop.
func (p *Planner) Configure(now time.Time, text *fleet.Fleet, domainsOut, targetsOut map[string]bool, pins map[string]string) {
	p.text = text
	p.domainsOut = domainsOut
	p.targetsOut = targetsOut
	p.pins = pins
	p.store.configure(now, text.Store)
	old := p.byName
	p.byName = make(map[string]*service, len(text.Services))
	p.services = nil
	for i := range text.Services {
		s := newService(&text.Services[i], text)
		if before := old[s.Name]; before != nil {
			s.inherit(before)
		}
		p.services = append(p.services, s)
		p.byName[s.Name] = s
	}
	slices.SortStableFunc(p.services, func(a, b *service) int { return a.depth - b.depth })
}

// Observe takes the state of all targets that are known now. A target that is
// not named is missing.
func (p *Planner) Observe(now time.Time, targets []TargetState) {
	p.observedAt = now
	if p.firstObserved.IsZero() {
		p.firstObserved = now
	}
	for i := range targets {
		p.observe(now, targets[i])
	}
	for _, name := range p.names {
		e := p.engines[name]
		if !e.present(now) && e.lostAt.IsZero() {
			e.lostAt = now
		}
	}
	p.forgetLost(now)
}

func (p *Planner) observe(now time.Time, state TargetState) {
	if reason := p.badReport(&state); reason != "" {
		p.alarms.raise(Alarm{Kind: AlarmBadReport, Service: state.Service, Target: state.Name, Message: reason})
		return
	}
	e := p.engines[state.Name]
	if e == nil {
		e = &engine{}
		p.engines[state.Name] = e
		at, _ := slices.BinarySearch(p.names, state.Name)
		p.names = slices.Insert(p.names, at, state.Name)
	}
	if state.Incarnation < e.Incarnation {
		text := fmt.Sprintf("report of start %d after start %d", state.Incarnation, e.Incarnation)
		p.alarms.raise(Alarm{Kind: AlarmStaleReport, Target: state.Name, Message: text})
		return
	}
	e.take(now, state)
	if state.ModelBytes > 0 && state.Model != "" {
		p.store.learn(state.Model, state.Version, state.ModelBytes)
	}
}

// badReport returns why a report can't be used.
func (p *Planner) badReport(state *TargetState) string {
	switch {
	case state.Name == "":
		return "report without a name"
	case state.Kind != target.KindModel && state.Kind != target.KindPlain:
		return fmt.Sprintf("unknown kind %q", state.Kind)
	case p.text != nil && !slices.Contains(p.text.FailureDomains, state.FailureDomain):
		return fmt.Sprintf("failure domain %q is not in the fleet text", state.FailureDomain)
	case state.InFlight < 0 || state.CachedChats < 0 || state.ModelBytes < 0:
		return "negative count"
	}
	return ""
}

// forgetLost drops targets that have been missing for long and have no order.
func (p *Planner) forgetLost(now time.Time) {
	p.names = slices.DeleteFunc(p.names, func(name string) bool {
		e := p.engines[name]
		idle := e.order == nil && e.exporting == nil && e.importing == nil
		if e.present(now) || !idle || !e.lost(now, p.times.OrderTimeout) {
			return false
		}
		delete(p.engines, name)
		return true
	})
}

// ObserveDemand takes the requests that wait for a service and run on it, summed over
// the service.
func (p *Planner) ObserveDemand(now time.Time, service string, queued, inFlight int) {
	if s := p.byName[service]; s != nil {
		s.takeDemand(now, float64(queued+inFlight), p.times.ScaleUpDelay)
	}
}

// BecomeLeader makes this planner the leader's, after Configure and a first Observe. The
// orders are those that the log holds and that have not ended; an earlier leader
// may have sent any of them. Nothing is sent until that leader's authority must
// have ended.
func (p *Planner) BecomeLeader(now time.Time, fence uint64, outstanding []Order) {
	p.leading = true
	p.fence = fence
	p.counter = 0
	p.sendAfter = now.Add(p.times.LeaderLease)
	p.effects = nil
	p.orders = nil
	p.handover.transfers = nil
	p.store.restart(now)
	for _, name := range p.names {
		e := p.engines[name]
		e.order, e.exporting, e.importing = nil, nil, nil
	}
	for _, order := range outstanding {
		p.adopt(now, order)
	}
}

// StepDown ends the lead: Step gives nothing until Lead is called.
func (p *Planner) StepDown() {
	p.leading = false
}

// adopt takes over an order of an earlier leader.
func (p *Planner) adopt(now time.Time, order Order) {
	o := &pending{Order: order, state: Draining, since: now, adopted: true, pause: p.times.ResendInterval}
	o.Fence = max(order.Fence, p.fence)
	if o.Kind == LoadModel && o.Bytes == 0 {
		o.Bytes = p.sizeOf(build{model: o.Model, version: o.Version})
	}
	o.SentAt = time.Time{}
	o.slotUntil = now.Add(p.adoptedSlot(o.Bytes))
	p.orders = append(p.orders, o)
	if o.Kind == LoadModel {
		p.store.start(now, o.Bytes)
	}
	e := p.engines[order.Target]
	if e == nil {
		e = &engine{TargetState: TargetState{Name: order.Target, Incarnation: order.Incarnation}, lostAt: now}
		p.engines[order.Target] = e
		at, _ := slices.BinarySearch(p.names, order.Target)
		p.names = slices.Insert(p.names, at, order.Target)
	}
	p.attach(e, o)
}

// adoptedSlot returns how long a load of an earlier leader may still run.
func (p *Planner) adoptedSlot(size int64) time.Duration {
	if expected := p.store.expected(size); expected > 0 {
		return expected
	}
	return p.times.OrderTimeout
}

// attach links an order with its target.
func (p *Planner) attach(e *engine, o *pending) {
	switch o.Kind {
	case ExportCache:
		e.exporting = o
	case ImportCache:
		e.importing = o
	default:
		e.order = o
	}
}

// Step decides what to do now. authorityUntil is the end of the leader's proved
// authority: the time that its last confirmed heartbeat round was sent plus the
// election timeout. Once it has passed, Step gives nothing.
func (p *Planner) Step(now, authorityUntil time.Time) []Effect {
	if !p.leading || p.text == nil || !now.Before(authorityUntil) {
		return nil
	}
	p.until = authorityUntil
	p.waits = map[string]string{}
	p.updateRolls()
	p.progressOrders(now)
	if !now.Before(p.sendAfter) {
		p.dispatchWhenInformed(now)
		p.planHandover(now)
	}
	p.checkServices()
	p.effects = append(p.effects, p.alarms.take()...)
	effects := p.effects
	p.effects = nil
	return effects
}

// dispatchWhenInformed waits until a planner that has just begun to observe has
// had the time to hear of all targets; else it would replace those it does not
// know yet.
func (p *Planner) dispatchWhenInformed(now time.Time) {
	if !p.firstObserved.IsZero() && now.Sub(p.firstObserved) >= p.times.LossGrace {
		p.dispatch(now)
	}
}

// logf adds a decision line.
func (p *Planner) logf(format string, args ...any) {
	p.effects = append(p.effects, Log{Line: "placement: " + fmt.Sprintf(format, args...)})
}

// nextID returns an order ID that no leader gives twice.
func (p *Planner) nextID() string {
	p.counter++
	return fmt.Sprintf("%d-%d", p.fence, p.counter)
}

// sizeKey names a build's weights.
func sizeKey(model, version string) string {
	return strings.Join([]string{model, version}, "\x00")
}
