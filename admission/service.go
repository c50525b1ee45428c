package admission

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
)

// Controller decides for the targets of one service at its owner. It does no I/O
// and is not safe for concurrent use.
type Controller struct {
	options options
	config  Config
	fence   uint64
	adopted bool
	// suspended is set between Suspend and Adopted.
	suspended bool
	factor    route.LoadFactor

	// targets and candidates have the same indexes.
	targets    []*targetState
	candidates []route.Candidate
	byName     map[string]int
	byPlace    []int
	// free lists the indexes that are not in use.
	free []int
	// load sums up the admitting candidates.
	load route.Load
	// empty is since when there is none.
	empty time.Time
	// nextCheck is the next time at which a target's state may change by
	// itself.
	nextCheck time.Time

	memory     *chat.LocationMap
	workspaces map[string]*workspace
	queue      *queue
	permits    map[string]*grant
	recent     recent
	effects    []Effect
	metrics    *metrics
}

// grant is a permit in flight.
type grant struct {
	permit    Permit
	target    int
	workspace *workspace
	chat      chat.Key
	// moved is set when the grant changed the chat's place.
	moved bool
	probe bool
}

// New returns the owner of a service, which grants nothing until Adopted. The
// fence goes into every permit.
func New(config Config, fence uint64, opts ...Option) *Controller {
	o := defaults()
	for _, option := range opts {
		option(&o)
	}
	s := &Controller{
		options:    o,
		fence:      fence,
		byName:     map[string]int{},
		memory:     chat.NewLocationMap(o.chats, o.chatAge),
		workspaces: map[string]*workspace{},
		queue:      newQueue(),
		permits:    map[string]*grant{},
		recent:     newRecent(),
		metrics:    newMetrics(o.scope),
	}
	s.configure(config)
	return s
}

func (s *Controller) configure(config Config) {
	s.config = config
	s.factor = route.LoadFactorOf(max(config.Service.Limits.LoadFactor, 1))
	for i := range config.Workspaces {
		named := &config.Workspaces[i]
		if !named.Allows(config.Service.Name) {
			continue
		}
		w := s.workspaceOf(named.Name)
		w.allowed = true
		w.share = float64(max(named.Share, 1))
	}
}

func (s *Controller) workspaceOf(name string) *workspace {
	w, known := s.workspaces[name]
	if !known {
		w = newWorkspace(name)
		s.workspaces[name] = w
	}
	return w
}

// Configure takes a new version of the operators' text and the outages. What it
// takes out gets nothing more from now on.
func (s *Controller) Configure(now time.Time, config Config) {
	defer s.pump(now)
	for _, w := range s.workspaces {
		w.allowed = false
	}
	s.configure(config)
	s.refuseDisallowed(now)
	maps.DeleteFunc(s.workspaces, func(_ string, w *workspace) bool { return !w.allowed && w.idle() })
	s.check(now)
}

// refuseDisallowed refuses what waits for workspaces that are no longer there.
func (s *Controller) refuseDisallowed(now time.Time) {
	for _, item := range s.queue.inOrder() {
		if !item.workspace.allowed {
			s.refuseWaiting(now, item, RefusedUnknownWorkspace, "the workspace was removed")
		}
	}
}

// slot returns the index of the target of that name, and adds it if needed.
func (s *Controller) slot(now time.Time, name string) int {
	if at, known := s.byName[name]; known {
		return at
	}
	at := len(s.targets)
	if last := len(s.free) - 1; last >= 0 {
		at = s.free[last]
		s.free = s.free[:last]
	} else {
		s.targets = append(s.targets, nil)
		s.candidates = append(s.candidates, route.Candidate{})
	}
	s.targets[at] = &targetState{name: name, lastSeen: now}
	s.candidates[at] = route.Candidate{Key: xxhash.Sum64String(name), Availability: route.Unannounced}
	s.byName[name] = at
	return at
}

// forget frees the index of a target that is gone for long, unless permits on it
// are still counted.
func (s *Controller) forget(now time.Time, at int) {
	t := s.targets[at]
	if t.name == "" || now.Sub(t.lastSeen) < DefaultForgetAfter {
		return
	}
	for _, granted := range s.permits {
		if granted.target == at {
			return
		}
	}
	delete(s.byName, t.name)
	s.memory.Close(t.name)
	s.targets[at] = &targetState{lastSeen: t.lastSeen}
	s.candidates[at] = route.Candidate{Availability: route.Gone}
	s.free = append(s.free, at)
}

// sync brings a candidate and the load up to date with its target.
func (s *Controller) sync(now time.Time, at int) {
	candidate := &s.candidates[at]
	t := s.targets[at]
	s.uncount(candidate)
	limit, warming := t.limit(s)
	candidate.Limit = int32(limit)
	candidate.Warming = warming
	admitted := candidate.Admits()
	candidate.Availability = t.closed(now, s)
	s.count(now, candidate)
	if admitted && !candidate.Admits() {
		s.queue.resumeFor(at, now)
	}
	if next := t.nextChange(now, s); next.Before(s.nextCheck) {
		s.nextCheck = next
	}
}

func (s *Controller) uncount(candidate *route.Candidate) {
	if candidate.Admits() {
		s.load.Targets--
		s.load.InFlight -= int(candidate.InFlight)
	}
}

func (s *Controller) count(now time.Time, candidate *route.Candidate) {
	if candidate.Admits() {
		s.load.Targets++
		s.load.InFlight += int(candidate.InFlight)
	}
	if s.load.Targets == 0 && s.empty.IsZero() {
		s.empty = now
	}
	if s.load.Targets > 0 {
		s.empty = time.Time{}
	}
}

// addInFlight changes the number in flight on a target.
func (s *Controller) addInFlight(now time.Time, at, change int) {
	candidate := &s.candidates[at]
	s.uncount(candidate)
	candidate.InFlight += int32(change)
	s.targets[at].peak.note(now, int(candidate.InFlight))
	s.count(now, candidate)
}

// farFuture is later than any check.
const farFuture = 100 * 365 * 24 * time.Hour

// check brings every target up to date with the time.
func (s *Controller) check(now time.Time) {
	s.nextCheck = now.Add(farFuture)
	for at := range s.targets {
		s.sync(now, at)
		s.forget(now, at)
	}
}

// advance brings the state up to date with the time, if any of it is due. Every
// message does so first, and at its end grants what it made room for.
func (s *Controller) advance(now time.Time) {
	if !now.Before(s.nextCheck) {
		s.check(now)
	}
}

// TakeEffects returns the effects since the last call.
func (s *Controller) TakeEffects() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}
