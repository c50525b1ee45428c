package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
)

// Planner decides the placement for the whole fleet. It is not safe for concurrent
// use, and the times passed to its methods must not go backwards.
type Planner struct {
	timing     Timing
	modelBytes int64
	canUnload  bool

	config     *fleet.Fleet
	services   []*service
	byName     map[string]*service
	domainsOut map[string]bool
	targetsOut map[string]bool
	pins       map[string]string

	engines     map[string]*engine
	targetNames []string
	observedAt  time.Time
	// firstObserved is the time of the first Observe.
	firstObserved time.Time

	leading      bool
	fence        uint64
	orderCounter uint64
	sendAfter    time.Time
	leaseUntil   time.Time
	orders       []*pendingOrder
	loads        loadLimiter
	handover     handover

	effects     []Effect
	alarms      alarmSet
	waitReasons map[string]string
}

// New returns a planner that has no configuration and does not lead.
func New(options ...Option) *Planner {
	p := &Planner{
		timing:      DefaultTiming(),
		modelBytes:  defaultModelBytes,
		byName:      map[string]*service{},
		engines:     map[string]*engine{},
		loads:       loadLimiter{sizes: map[string]int64{}},
		handover:    newHandover(),
		waitReasons: map[string]string{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Configure replaces the fleet configuration, the failure domains and targets that
// are out of service, and the pins (target to service; an empty service leaves the
// target as it is). A new build of a service starts its rollout, even after a
// stopped one.
func (p *Planner) Configure(now time.Time, config *fleet.Fleet, domainsOut, targetsOut map[string]bool, pins map[string]string) {
	p.config = config
	p.domainsOut = domainsOut
	p.targetsOut = targetsOut
	p.pins = pins
	p.loads.configure(now, config.Store)
	old := p.byName
	p.byName = make(map[string]*service, len(config.Services))
	p.services = nil
	for i := range config.Services {
		s := newService(&config.Services[i], config)
		if previous := old[s.Name]; previous != nil {
			s.inheritState(previous)
		}
		p.services = append(p.services, s)
		p.byName[s.Name] = s
	}
	slices.SortStableFunc(p.services, func(a, b *service) int { return a.depth - b.depth })
}

// Observe replaces the states of all known targets. A target that is not in the
// list counts as missing.
func (p *Planner) Observe(now time.Time, targets []TargetState) {
	p.observedAt = now
	if p.firstObserved.IsZero() {
		p.firstObserved = now
	}
	for i := range targets {
		p.observe(now, targets[i])
	}
	for _, name := range p.targetNames {
		e := p.engines[name]
		if !e.present(now) && e.lostAt.IsZero() {
			e.lostAt = now
		}
	}
	p.removeLost(now)
}

func (p *Planner) observe(now time.Time, state TargetState) {
	if reason := p.invalidReason(&state); reason != "" {
		p.alarms.raise(Alarm{Kind: AlarmBadReport, Service: state.Service, Target: state.Name, Message: reason})
		return
	}
	e := p.engines[state.Name]
	if e == nil {
		e = &engine{}
		p.engines[state.Name] = e
		at, _ := slices.BinarySearch(p.targetNames, state.Name)
		p.targetNames = slices.Insert(p.targetNames, at, state.Name)
	}
	if state.Incarnation < e.Incarnation {
		message := fmt.Sprintf("report of start %d after start %d", state.Incarnation, e.Incarnation)
		p.alarms.raise(Alarm{Kind: AlarmStaleReport, Target: state.Name, Message: message})
		return
	}
	e.update(now, state)
	if state.ModelBytes > 0 && state.Model != "" {
		p.loads.recordSize(state.Model, state.Version, state.ModelBytes)
	}
}

// invalidReason returns why a report is invalid, or "" if it is valid.
func (p *Planner) invalidReason(state *TargetState) string {
	switch {
	case state.Name == "":
		return "report without a name"
	case state.Kind != target.KindModel && state.Kind != target.KindPlain:
		return fmt.Sprintf("unknown kind %q", state.Kind)
	case p.config != nil && !slices.Contains(p.config.FailureDomains, state.FailureDomain):
		return fmt.Sprintf("failure domain %q is not in the fleet text", state.FailureDomain)
	case state.InFlight < 0 || state.CachedChats < 0 || state.ModelBytes < 0:
		return "negative count"
	}
	return ""
}

// removeLost deletes targets that have been missing for OrderTimeout and have no
// order.
func (p *Planner) removeLost(now time.Time) {
	p.targetNames = slices.DeleteFunc(p.targetNames, func(name string) bool {
		e := p.engines[name]
		idle := e.order == nil && e.exporting == nil && e.importing == nil
		if e.present(now) || !idle || !e.lost(now, p.timing.OrderTimeout) {
			return false
		}
		delete(p.engines, name)
		return true
	})
}

// ObserveDemand records the total number of queued and in-flight requests of a
// service.
func (p *Planner) ObserveDemand(now time.Time, service string, queued, inFlight int) {
	if s := p.byName[service]; s != nil {
		s.recordDemand(now, float64(queued+inFlight), p.timing.ScaleUpDelay)
	}
}

// BecomeLeader starts leading. Configure and Observe must have been called before.
// The outstanding orders are those in the log that have not ended; a former leader
// may have sent any of them. Nothing is sent until that leader's lease must have
// expired.
func (p *Planner) BecomeLeader(now time.Time, fence uint64, outstanding []Order) {
	p.leading = true
	p.fence = fence
	p.orderCounter = 0
	p.sendAfter = now.Add(p.timing.LeaderLease)
	p.effects = nil
	p.orders = nil
	p.handover.transfers = nil
	p.loads.reset(now)
	for _, name := range p.targetNames {
		e := p.engines[name]
		e.order, e.exporting, e.importing = nil, nil, nil
	}
	for _, order := range outstanding {
		p.adopt(now, order)
	}
}

// StepDown stops leading: Step returns no effects until BecomeLeader is called.
func (p *Planner) StepDown() {
	p.leading = false
}

// adopt takes over an outstanding order of a former leader.
func (p *Planner) adopt(now time.Time, order Order) {
	o := &pendingOrder{Order: order, state: Draining, since: now, adopted: true, resendInterval: p.timing.ResendInterval}
	o.Fence = max(order.Fence, p.fence)
	if o.Kind == LoadModel && o.Bytes == 0 {
		o.Bytes = p.sizeOf(build{model: o.Model, version: o.Version})
	}
	o.SentAt = time.Time{}
	o.slotUntil = now.Add(p.adoptedSlotTime(o.Bytes))
	p.orders = append(p.orders, o)
	if o.Kind == LoadModel {
		p.loads.reserve(now, o.Bytes)
	}
	e := p.engines[order.Target]
	if e == nil {
		e = &engine{TargetState: TargetState{Name: order.Target, Incarnation: order.Incarnation}, lostAt: now}
		p.engines[order.Target] = e
		at, _ := slices.BinarySearch(p.targetNames, order.Target)
		p.targetNames = slices.Insert(p.targetNames, at, order.Target)
	}
	p.linkOrder(e, o)
}

// adoptedSlotTime returns how long a load sent by a former leader may still run.
func (p *Planner) adoptedSlotTime(size int64) time.Duration {
	if expected := p.loads.maxLoadTime(size); expected > 0 {
		return expected
	}
	return p.timing.OrderTimeout
}

// linkOrder stores a reference to the order with its target.
func (p *Planner) linkOrder(e *engine, o *pendingOrder) {
	switch o.Kind {
	case ExportCache:
		e.exporting = o
	case ImportCache:
		e.importing = o
	default:
		e.order = o
	}
}

// Step returns the effects to apply now. leaseUntil is when the leader's lease
// expires: the time its last confirmed heartbeat round was sent plus the election
// timeout. Once it has passed, Step returns nothing.
func (p *Planner) Step(now, leaseUntil time.Time) []Effect {
	if !p.leading || p.config == nil || !now.Before(leaseUntil) {
		return nil
	}
	p.leaseUntil = leaseUntil
	p.waitReasons = map[string]string{}
	p.updateRollouts()
	p.advanceOrders(now)
	if !now.Before(p.sendAfter) {
		p.dispatchWhenObserved(now)
		p.planHandover(now)
	}
	p.raiseServiceAlarms()
	p.effects = append(p.effects, p.alarms.flush()...)
	effects := p.effects
	p.effects = nil
	return effects
}

// dispatchWhenObserved dispatches orders once LossGrace has passed since the first
// observation. Before, targets that have not been reported yet would be replaced.
func (p *Planner) dispatchWhenObserved(now time.Time) {
	if !p.firstObserved.IsZero() && now.Sub(p.firstObserved) >= p.timing.LossGrace {
		p.dispatch(now)
	}
}

// logf adds a log line about a decision.
func (p *Planner) logf(format string, args ...any) {
	p.effects = append(p.effects, Log{Line: "placement: " + fmt.Sprintf(format, args...)})
}

// nextID returns an order ID that is unique across all leaders.
func (p *Planner) nextID() string {
	p.orderCounter++
	return fmt.Sprintf("%d-%d", p.fence, p.orderCounter)
}

// sizeKey returns the key of a build in loadLimiter.sizes.
func sizeKey(model, version string) string {
	return strings.Join([]string{model, version}, "\x00")
}
