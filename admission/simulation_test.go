package admission

import (
	"container/list"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"comfreytiller.dev/target"
)

// Parameters of the simulated engines and links.
const (
	linkDelay         = time.Millisecond
	meanReportDelay   = 500 * time.Millisecond
	heartbeatInterval = time.Second
	movedFirstByte    = 250 * time.Millisecond
	warmFirstByte     = 100 * time.Millisecond
	coldFirstByte     = 700 * time.Millisecond
	generationTime    = 100 * 26 * time.Millisecond
	coldStartDelay    = 2 * time.Second
	cacheEventLoss    = 0.02
)

// event is an action scheduled for a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// simulatedEngine is an engine with a prefix cache of limited capacity.
type simulatedEngine struct {
	name            string
	domain          string
	incarnation     uint64
	sequence        uint64
	lastCacheEvent  uint64
	alive           bool
	silent          bool
	leaving         bool
	capacity        int
	running         int
	startedRequests int
	// lastHeartbeat is when the owner received the newest heartbeat.
	lastHeartbeat time.Time
	lastDelivered uint64
	cache         map[string]*list.Element
	lru           *list.List
	stored        []string
	evicted       []string
}

func (e *simulatedEngine) start() {
	e.incarnation++
	e.sequence, e.lastCacheEvent, e.running, e.startedRequests = 0, 0, 0, 0
	e.cache, e.lru = map[string]*list.Element{}, list.New()
	e.stored, e.evicted = nil, nil
	e.alive, e.silent, e.leaving = true, false, false
}

func (e *simulatedEngine) hasCached(name string) bool {
	_, cached := e.cache[name]
	return cached
}

// runChat puts the chat's context into the prefix cache and reports a cache hit.
func (e *simulatedEngine) runChat(name string) bool {
	item, hit := e.cache[name]
	if hit {
		e.lru.MoveToFront(item)
		return true
	}
	e.cache[name] = e.lru.PushFront(name)
	e.stored = append(e.stored, name)
	if e.lru.Len() > e.capacity {
		oldest := e.lru.Remove(e.lru.Back()).(string)
		delete(e.cache, oldest)
		e.evicted = append(e.evicted, oldest)
	}
	return false
}

// simulation runs an owner with engines and entry hosts in simulated time.
type simulation struct {
	now        time.Time
	events     heap[*event]
	eventCount int
	// random drives the engines and links, arrivals the requests and faults the
	// faults, so that different policies get the same requests and faults.
	random       *rand.Rand
	arrivals     *rand.Rand
	faults       *rand.Rand
	owner        *Controller
	config       Config
	engines      []*simulatedEngine
	byName       map[string]*simulatedEngine
	requestCount int
	sentAt       map[string]time.Time
	requests     map[string]Request
	// permits holds the permits granted and not yet released.
	permits map[string]Permit
	// seenChats names the chats that have run.
	seenChats map[string]bool

	waited []time.Duration
	// movesCache is set if the engines export and import contexts.
	movesCache                  bool
	returning, reused, reusable int
	granted, refused            int
	// workspaceOf maps a request's workspace to the workspace whose queue it uses.
	workspaceOf func(string) string
	onGrant     func(Permit, time.Duration)
	onRelease   func(Permit)
	onRun       func(Permit, *simulatedEngine, bool)
}

func newSimulation(seed int64, config Config, engines int, opts ...Option) *simulation {
	m := &simulation{
		now: start, config: config, random: rand.New(rand.NewSource(seed)),
		arrivals: rand.New(rand.NewSource(seed + 1)), faults: rand.New(rand.NewSource(seed + 2)),
		byName: map[string]*simulatedEngine{}, sentAt: map[string]time.Time{}, requests: map[string]Request{},
		permits: map[string]Permit{}, seenChats: map[string]bool{},
	}
	m.events.less = func(a, b *event) bool {
		return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
	}
	m.events.onMove = func(*event, int) {}
	m.owner = New(config, 1, opts...)
	m.owner.CompleteAdoption(m.now)
	for i := range engines {
		e := &simulatedEngine{name: fmt.Sprintf("e%d", i), domain: string(rune('A' + i%3)), capacity: 6000}
		m.engines = append(m.engines, e)
		m.byName[e.name] = e
	}
	m.scheduleEvery(100*time.Millisecond, func() { m.owner.Tick(m.now) })
	return m
}

func (m *simulation) schedule(delay time.Duration, do func()) {
	m.eventCount++
	m.events.push(&event{m.now.Add(delay), m.eventCount, do})
}

func (m *simulation) scheduleEvery(interval time.Duration, do func()) {
	m.schedule(interval, func() {
		do()
		m.scheduleEvery(interval, do)
	})
}

func (m *simulation) runUntil(end time.Time) {
	for m.events.top().at.Before(end) {
		next := m.events.top()
		m.events.remove(0)
		m.now = next.at
		next.run()
		m.handleEffects()
	}
	m.now = end
}

func (m *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// arrivalGap draws the time until the next arrival.
func (m *simulation) arrivalGap(mean time.Duration) time.Duration {
	return time.Duration(m.arrivals.ExpFloat64() * float64(mean))
}

// join starts an engine with its heartbeats and cache events.
func (m *simulation) join(e *simulatedEngine) {
	e.start()
	incarnation := e.incarnation
	m.schedule(linkDelay, func() {
		if e.incarnation == incarnation {
			e.sequence++
			m.owner.HandleAnnouncement(m.now, target.Announcement{
				Name: e.name, Stamp: target.Stamp{Incarnation: incarnation, Sequence: e.sequence}, Address: "127.0.0.1:9000",
				FailureDomain: e.domain, Service: "Reviews", CacheCapacityChats: e.capacity, Cold: true,
			})
		}
	})
	m.schedule(m.exponential(heartbeatInterval), func() { m.sendHeartbeat(e, incarnation) })
}

// joinWarm starts an engine that the owner knows to be warm.
func (m *simulation) joinWarm(e *simulatedEngine) {
	e.start()
	e.startedRequests = 1000
	e.lastHeartbeat = m.now
	e.sequence++
	a := target.Announcement{
		Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.sequence}, Address: e.name,
		FailureDomain: e.domain, Service: "Reviews", CacheCapacityChats: e.capacity, SupportsCacheTransfer: m.movesCache,
	}
	m.owner.Import(m.now, ExportedState{Current: true, Targets: []ExportedTarget{{Announcement: a, MembershipStamp: a.Stamp, CompletedRequests: 1000}}})
	m.schedule(m.exponential(heartbeatInterval), func() { m.sendHeartbeat(e, e.incarnation) })
}

func (m *simulation) sendHeartbeat(e *simulatedEngine, incarnation uint64) {
	if e.incarnation != incarnation || !e.alive {
		return
	}
	m.schedule(heartbeatInterval, func() { m.sendHeartbeat(e, incarnation) })
	if e.silent {
		return
	}
	e.sequence++
	report := target.LoadReport{Name: e.name, Stamp: target.Stamp{Incarnation: incarnation, Sequence: e.sequence}, InFlight: e.running}
	stored, evicted := e.stored, e.evicted
	e.stored, e.evicted = nil, nil
	m.schedule(m.exponential(meanReportDelay), func() { m.deliverLoadReport(e, report) })
	m.sendCacheEvent(e, target.CacheStored, stored)
	m.sendCacheEvent(e, target.CacheEvicted, evicted)
}

func (m *simulation) deliverLoadReport(e *simulatedEngine, report target.LoadReport) {
	if report.Sequence > e.lastDelivered && report.Incarnation == e.incarnation {
		e.lastDelivered = report.Sequence
		e.lastHeartbeat = m.now
	}
	m.owner.HandleLoadReport(m.now, report)
}

func (m *simulation) sendCacheEvent(e *simulatedEngine, change target.CacheChange, chats []string) {
	if len(chats) == 0 {
		return
	}
	e.lastCacheEvent++
	event := target.CacheEvent{Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.lastCacheEvent}, Change: change, Chats: chats}
	if m.random.Float64() < cacheEventLoss {
		return
	}
	m.schedule(m.exponential(meanReportDelay), func() { m.owner.HandleCacheEvent(m.now, event) })
}

func (m *simulation) leave(e *simulatedEngine) {
	e.sequence++
	e.leaving = true
	leave := target.Leave{Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.sequence}}
	m.schedule(linkDelay, func() { m.owner.HandleLeave(m.now, leave) })
	m.schedule(30*time.Second, func() {
		if e.leaving {
			e.alive = false
		}
	})
}

// flap silences an engine, which returns either with its cache or restarted.
func (m *simulation) flap(e *simulatedEngine, silence time.Duration, survives bool) {
	e.silent = true
	m.schedule(silence, func() {
		if survives {
			e.silent = false
		} else if !e.leaving {
			m.join(e)
		}
	})
}

// sendRequest sends a request through one of 18 hosts.
func (m *simulation) sendRequest(workspace, chatName string) {
	m.requestCount++
	if m.workspaceOf != nil {
		workspace = m.workspaceOf(workspace)
	}
	r := Request{
		ID: fmt.Sprintf("r%d", m.requestCount), Host: fmt.Sprintf("h%d", m.arrivals.Intn(18)), Service: "Reviews",
		Workspace: workspace, Chat: chatName, Deadline: m.now.Add(time.Minute),
	}
	m.sentAt[r.ID] = m.now
	m.requests[r.ID] = r
	m.schedule(linkDelay, func() { m.owner.Acquire(m.now, r) })
}

func (m *simulation) handleEffects() {
	for _, effect := range m.owner.TakeEffects() {
		if effect.Permit != nil {
			m.handlePermit(*effect.Permit)
			continue
		}
		m.refused++
		delete(m.sentAt, effect.Refusal.RequestID)
	}
}

func (m *simulation) handlePermit(p Permit) {
	m.granted++
	m.waited = append(m.waited, m.now.Sub(m.sentAt[p.RequestID])-linkDelay)
	if m.onGrant != nil {
		m.onGrant(p, m.now.Sub(m.sentAt[p.RequestID]))
	}
	delete(m.sentAt, p.RequestID)
	m.permits[p.RequestID] = p
	m.schedule(2*linkDelay, func() { m.runRequest(p) })
}

// waits returns the mean wait and its 99th percentile.
func (m *simulation) waits() (mean, p99 time.Duration) {
	slices.Sort(m.waited)
	for _, wait := range m.waited {
		mean += wait
	}
	return mean / time.Duration(len(m.waited)), m.waited[len(m.waited)*99/100]
}

// runRequest runs a request on its engine and releases the permit at the end.
func (m *simulation) runRequest(p Permit) {
	e := m.byName[p.Target]
	if !e.alive || e.silent || e.incarnation != p.Incarnation {
		m.schedule(time.Second, func() { m.release(p, OutcomeFailed, 0) })
		return
	}
	m.countReuse(p.Chat)
	hit := e.runChat(p.Chat)
	source := m.byName[p.CacheFrom]
	moved := !hit && source != nil && source.alive && source.hasCached(p.Chat)
	if m.seenChats[p.Chat] && hit {
		m.reused++
	}
	m.seenChats[p.Chat] = true
	firstByte := warmFirstByte
	switch {
	case moved:
		firstByte = movedFirstByte
		hit = true
	case !hit:
		firstByte = coldFirstByte
	}
	if e.startedRequests < 8 {
		firstByte += coldStartDelay
	}
	if m.onRun != nil {
		m.onRun(p, e, hit)
	}
	took := firstByte + generationTime/2 + m.exponential(generationTime/2)
	e.startedRequests++
	e.running++
	m.schedule(took, func() {
		if e.incarnation == p.Incarnation {
			e.running--
		}
		m.schedule(linkDelay, func() { m.release(p, OutcomeDone, firstByte) })
	})
}

// countReuse counts a returning chat, and whether any available engine holds its
// context.
func (m *simulation) countReuse(name string) {
	if !m.seenChats[name] {
		return
	}
	m.returning++
	for _, e := range m.engines {
		if e.alive && !e.silent && !e.leaving && !m.config.DomainsOut[e.domain] && e.hasCached(name) {
			m.reusable++
			return
		}
	}
}

func (m *simulation) release(p Permit, outcome Outcome, firstByte time.Duration) {
	delete(m.permits, p.RequestID)
	if m.onRelease != nil {
		m.onRelease(p)
	}
	release := doneRelease(p)
	release.Outcome, release.FirstByte = outcome, firstByte
	m.owner.Release(m.now, release)
}
