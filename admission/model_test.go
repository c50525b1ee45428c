package admission

import (
	"container/list"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"comfreytiller.dev/target"
)

// The engines and links of the model.
const (
	linkDelay  = time.Millisecond
	reportLag  = 500 * time.Millisecond
	heartbeat  = time.Second
	moveFirst  = 250 * time.Millisecond
	warmFirst  = 100 * time.Millisecond
	coldFirst  = 700 * time.Millisecond
	generation = 100 * 26 * time.Millisecond
	coldStart  = 2 * time.Second
	eventsLost = 0.02
)

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

// modelEngine is an engine with a limited prefix memory.
type modelEngine struct {
	name        string
	domain      string
	incarnation uint64
	sequence    uint64
	events      uint64
	alive       bool
	silent      bool
	leaving     bool
	capacity    int
	running     int
	started     int
	// heard is when the owner got its newest heartbeat.
	heard     time.Time
	delivered uint64
	cache     map[string]*list.Element
	order     *list.List
	stored    []string
	evicted   []string
}

func (e *modelEngine) start() {
	e.incarnation++
	e.sequence, e.events, e.running, e.started = 0, 0, 0, 0
	e.cache, e.order = map[string]*list.Element{}, list.New()
	e.stored, e.evicted = nil, nil
	e.alive, e.silent, e.leaving = true, false, false
}

func (e *modelEngine) holds(name string) bool {
	_, held := e.cache[name]
	return held
}

// run puts the chat's context into the prefix memory; it reports a hit.
func (e *modelEngine) run(name string) bool {
	item, hit := e.cache[name]
	if hit {
		e.order.MoveToFront(item)
		return true
	}
	e.cache[name] = e.order.PushFront(name)
	e.stored = append(e.stored, name)
	if e.order.Len() > e.capacity {
		oldest := e.order.Remove(e.order.Back()).(string)
		delete(e.cache, oldest)
		e.evicted = append(e.evicted, oldest)
	}
	return false
}

// model runs an owner against engines and entry hosts in simulated time.
type model struct {
	now    time.Time
	events heap[*event]
	order  int
	// random draws what the engines and links do, arrivals and faults the rest,
	// so that two policies meet the same requests and faults.
	random   *rand.Rand
	arrivals *rand.Rand
	faults   *rand.Rand
	owner    *Service
	config   Config
	engines  []*modelEngine
	byName   map[string]*modelEngine
	next     int
	asked    map[string]time.Time
	request  map[string]Request
	// permits counts what the owner granted and has not got back.
	permits map[string]Permit
	// seen names the chats that have run.
	seen map[string]bool

	waited []time.Duration
	// movesCache is set when the engines export and import contexts.
	movesCache              bool
	returning, reused, held int
	granted, refused        int
	// workspaceOf says in which workspace's queue a request goes.
	workspaceOf func(string) string
	onGrant     func(Permit, time.Duration)
	onRelease   func(Permit)
	onRun       func(Permit, *modelEngine, bool)
}

func newModel(seed int64, config Config, engines int, opts ...Option) *model {
	m := &model{
		now: start, config: config, random: rand.New(rand.NewSource(seed)),
		arrivals: rand.New(rand.NewSource(seed + 1)), faults: rand.New(rand.NewSource(seed + 2)),
		byName: map[string]*modelEngine{}, asked: map[string]time.Time{}, request: map[string]Request{},
		permits: map[string]Permit{}, seen: map[string]bool{},
	}
	m.events.less = func(a, b *event) bool {
		return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
	}
	m.events.moved = func(*event, int) {}
	m.owner = New(config, 1, opts...)
	m.owner.Adopted(m.now)
	for i := range engines {
		e := &modelEngine{name: fmt.Sprintf("e%d", i), domain: string(rune('A' + i%3)), capacity: 6000}
		m.engines = append(m.engines, e)
		m.byName[e.name] = e
	}
	m.every(100*time.Millisecond, func() { m.owner.Tick(m.now) })
	return m
}

func (m *model) after(delay time.Duration, do func()) {
	m.order++
	m.events.push(&event{m.now.Add(delay), m.order, do})
}

func (m *model) every(interval time.Duration, do func()) {
	m.after(interval, func() {
		do()
		m.every(interval, do)
	})
}

func (m *model) runUntil(end time.Time) {
	for m.events.top().at.Before(end) {
		next := m.events.top()
		m.events.remove(0)
		m.now = next.at
		next.do()
		m.takeEffects()
	}
	m.now = end
}

func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// gap draws the time to the next arrival.
func (m *model) gap(mean time.Duration) time.Duration {
	return time.Duration(m.arrivals.ExpFloat64() * float64(mean))
}

// join starts an engine, with its heartbeats and cache events.
func (m *model) join(e *modelEngine) {
	e.start()
	incarnation := e.incarnation
	m.after(linkDelay, func() {
		if e.incarnation == incarnation {
			e.sequence++
			m.owner.Announce(m.now, target.Announcement{
				Name: e.name, Stamp: target.Stamp{Incarnation: incarnation, Sequence: e.sequence}, Address: "127.0.0.1:9000",
				FailureDomain: e.domain, Service: "Reviews", CacheCapacityChats: e.capacity, Cold: true,
			})
		}
	})
	m.after(m.exponential(heartbeat), func() { m.beat(e, incarnation) })
}

// joinWarm starts an engine that the owner knows to be warm.
func (m *model) joinWarm(e *modelEngine) {
	e.start()
	e.started = 1000
	e.heard = m.now
	e.sequence++
	a := target.Announcement{
		Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.sequence}, Address: e.name,
		FailureDomain: e.domain, Service: "Reviews", CacheCapacityChats: e.capacity, SupportsCacheTransfer: m.movesCache,
	}
	m.owner.Import(m.now, Copy{Current: true, Targets: []TargetCopy{{Announcement: a, Announced: a.Stamp, Completed: 1000}}})
	m.after(m.exponential(heartbeat), func() { m.beat(e, e.incarnation) })
}

func (m *model) beat(e *modelEngine, incarnation uint64) {
	if e.incarnation != incarnation || !e.alive {
		return
	}
	m.after(heartbeat, func() { m.beat(e, incarnation) })
	if e.silent {
		return
	}
	e.sequence++
	report := target.LoadReport{Name: e.name, Stamp: target.Stamp{Incarnation: incarnation, Sequence: e.sequence}, InFlight: e.running}
	stored, evicted := e.stored, e.evicted
	e.stored, e.evicted = nil, nil
	m.after(m.exponential(reportLag), func() { m.load(e, report) })
	m.cacheEvent(e, target.CacheStored, stored)
	m.cacheEvent(e, target.CacheEvicted, evicted)
}

func (m *model) load(e *modelEngine, report target.LoadReport) {
	if report.Sequence > e.delivered && report.Incarnation == e.incarnation {
		e.delivered = report.Sequence
		e.heard = m.now
	}
	m.owner.Load(m.now, report)
}

func (m *model) cacheEvent(e *modelEngine, change target.CacheChange, chats []string) {
	if len(chats) == 0 {
		return
	}
	e.events++
	event := target.CacheEvent{Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.events}, Change: change, Chats: chats}
	if m.random.Float64() < eventsLost {
		return
	}
	m.after(m.exponential(reportLag), func() { m.owner.Cache(m.now, event) })
}

func (m *model) leave(e *modelEngine) {
	e.sequence++
	e.leaving = true
	leave := target.Leave{Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.sequence}}
	m.after(linkDelay, func() { m.owner.Leave(m.now, leave) })
	m.after(30*time.Second, func() {
		if e.leaving {
			e.alive = false
		}
	})
}

// flap silences an engine; it comes back with its cache, or started anew.
func (m *model) flap(e *modelEngine, silence time.Duration, survives bool) {
	e.silent = true
	m.after(silence, func() {
		if survives {
			e.silent = false
		} else if !e.leaving {
			m.join(e)
		}
	})
}

// ask sends a request through one of 18 hosts.
func (m *model) ask(workspace, chatName string) {
	m.next++
	if m.workspaceOf != nil {
		workspace = m.workspaceOf(workspace)
	}
	r := Request{
		ID: fmt.Sprintf("r%d", m.next), Host: fmt.Sprintf("h%d", m.arrivals.Intn(18)), Service: "Reviews",
		Workspace: workspace, Chat: chatName, Deadline: m.now.Add(time.Minute),
	}
	m.asked[r.ID] = m.now
	m.request[r.ID] = r
	m.after(linkDelay, func() { m.owner.Acquire(m.now, r) })
}

func (m *model) takeEffects() {
	for _, effect := range m.owner.Effects() {
		if effect.Permit != nil {
			m.take(*effect.Permit)
			continue
		}
		m.refused++
		delete(m.asked, effect.Refusal.RequestID)
	}
}

func (m *model) take(p Permit) {
	m.granted++
	m.waited = append(m.waited, m.now.Sub(m.asked[p.RequestID])-linkDelay)
	if m.onGrant != nil {
		m.onGrant(p, m.now.Sub(m.asked[p.RequestID]))
	}
	delete(m.asked, p.RequestID)
	m.permits[p.RequestID] = p
	m.after(2*linkDelay, func() { m.send(p) })
}

// waits returns the mean wait and its 99th percentile.
func (m *model) waits() (mean, p99 time.Duration) {
	slices.Sort(m.waited)
	for _, wait := range m.waited {
		mean += wait
	}
	return mean / time.Duration(len(m.waited)), m.waited[len(m.waited)*99/100]
}

// send runs a request on its engine and releases the permit at the end.
func (m *model) send(p Permit) {
	e := m.byName[p.Target]
	if !e.alive || e.silent || e.incarnation != p.Incarnation {
		m.after(time.Second, func() { m.release(p, OutcomeFailed, 0) })
		return
	}
	m.countReuse(p.Chat)
	hit := e.run(p.Chat)
	source := m.byName[p.CacheFrom]
	moved := !hit && source != nil && source.alive && source.holds(p.Chat)
	if m.seen[p.Chat] && hit {
		m.reused++
	}
	m.seen[p.Chat] = true
	firstByte := warmFirst
	switch {
	case moved:
		firstByte = moveFirst
		hit = true
	case !hit:
		firstByte = coldFirst
	}
	if e.started < 8 {
		firstByte += coldStart
	}
	if m.onRun != nil {
		m.onRun(p, e, hit)
	}
	took := firstByte + generation/2 + m.exponential(generation/2)
	e.started++
	e.running++
	m.after(took, func() {
		if e.incarnation == p.Incarnation {
			e.running--
		}
		m.after(linkDelay, func() { m.release(p, OutcomeDone, firstByte) })
	})
}

// countReuse counts whether any engine that takes work holds the chat.
func (m *model) countReuse(name string) {
	if !m.seen[name] {
		return
	}
	m.returning++
	for _, e := range m.engines {
		if e.alive && !e.silent && !e.leaving && !m.config.DomainsOut[e.domain] && e.holds(name) {
			m.held++
			return
		}
	}
}

func (m *model) release(p Permit, outcome Outcome, firstByte time.Duration) {
	delete(m.permits, p.RequestID)
	if m.onRelease != nil {
		m.onRelease(p)
	}
	release := done(p)
	release.Outcome, release.FirstByte = outcome, firstByte
	m.owner.Release(m.now, release)
}
