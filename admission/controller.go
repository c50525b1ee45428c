package admission

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
)

// Controller makes the admission decisions for the targets of one service at the
// service's owner. It does no I/O and is not safe for concurrent use.
type Controller struct {
	options options
	config  Config
	fence   uint64
	adopted bool
	// suspended is set between Suspend and CompleteAdoption.
	suspended bool
	factor    route.LoadFactor

	// targets and candidates share their indexes.
	targets    []*targetState
	candidates []route.Candidate
	byName     map[string]int
	byInstance []int
	// freeIndexes lists the indexes that are not in use.
	freeIndexes []int
	// load is the total over the admitting candidates.
	load route.Load
	// noTargetsSince is the time since which no candidate admits requests; zero while
	// one does.
	noTargetsSince time.Time
	// nextRefresh is the earliest time at which a target's state may change without a
	// message.
	nextRefresh time.Time

	locations  *chat.LocationMap
	workspaces map[string]*workspaceQueue
	queue      *queue
	permits    map[string]*activePermit
	ended      endedRequests
	effects    []Effect
	metrics    *metrics
}

// activePermit is a permit in flight.
type activePermit struct {
	permit    Permit
	target    int
	workspace *workspaceQueue
	chat      chat.Key
	// chatMoved is set when the grant changed the chat's last instance.
	chatMoved bool
	// probe is set if the permit probes an open circuit.
	probe bool
}

// New returns the controller of a service. It grants nothing until CompleteAdoption.
// Every permit carries the fencing token fence.
func New(config Config, fence uint64, opts ...Option) *Controller {
	o := defaultOptions()
	for _, option := range opts {
		option(&o)
	}
	c := &Controller{
		options:    o,
		fence:      fence,
		byName:     map[string]int{},
		locations:  chat.NewLocationMap(o.maxChats, o.maxChatAge),
		workspaces: map[string]*workspaceQueue{},
		queue:      newQueue(),
		permits:    map[string]*activePermit{},
		ended:      newEndedRequests(),
		metrics:    newMetrics(o.scope),
	}
	c.configure(config)
	return c
}

func (c *Controller) configure(config Config) {
	c.config = config
	c.factor = route.LoadFactorOf(max(config.Service.Limits.LoadFactor, 1))
	for i := range config.Workspaces {
		workspace := &config.Workspaces[i]
		if !workspace.Allows(config.Service.Name) {
			continue
		}
		w := c.workspaceQueueOf(workspace.Name)
		w.allowed = true
		w.share = float64(max(workspace.Share, 1))
	}
}

func (c *Controller) workspaceQueueOf(name string) *workspaceQueue {
	w, known := c.workspaces[name]
	if !known {
		w = newWorkspaceQueue(name)
		c.workspaces[name] = w
	}
	return w
}

// Configure applies a new configuration and new outages. Failure domains, targets and
// workspaces that it takes out get no further permits.
func (c *Controller) Configure(now time.Time, config Config) {
	defer c.dispatch(now)
	for _, w := range c.workspaces {
		w.allowed = false
	}
	c.configure(config)
	c.refuseDisallowed(now)
	maps.DeleteFunc(c.workspaces, func(_ string, w *workspaceQueue) bool { return !w.allowed && w.idle() })
	c.refreshTargets(now)
}

// refuseDisallowed refuses the queued requests of workspaces that may no longer use
// the service.
func (c *Controller) refuseDisallowed(now time.Time) {
	for _, item := range c.queue.sortedByArrival() {
		if !item.workspace.allowed {
			c.refuseQueued(now, item, RefusedUnknownWorkspace, "the workspace was removed")
		}
	}
}

// ensureTarget returns the index of the named target and adds the target if necessary.
func (c *Controller) ensureTarget(now time.Time, name string) int {
	if at, known := c.byName[name]; known {
		return at
	}
	at := len(c.targets)
	if last := len(c.freeIndexes) - 1; last >= 0 {
		at = c.freeIndexes[last]
		c.freeIndexes = c.freeIndexes[:last]
	} else {
		c.targets = append(c.targets, nil)
		c.candidates = append(c.candidates, route.Candidate{})
	}
	c.targets[at] = &targetState{name: name, lastSeen: now}
	c.candidates[at] = route.Candidate{Key: xxhash.Sum64String(name), Availability: route.Unannounced}
	c.byName[name] = at
	return at
}

// forgetStaleTarget frees the index of a target that has been silent for
// DefaultForgetAfter, unless permits on it are still in flight.
func (c *Controller) forgetStaleTarget(now time.Time, at int) {
	t := c.targets[at]
	if t.name == "" || now.Sub(t.lastSeen) < DefaultForgetAfter {
		return
	}
	for _, active := range c.permits {
		if active.target == at {
			return
		}
	}
	delete(c.byName, t.name)
	c.locations.Close(t.name)
	c.targets[at] = &targetState{lastSeen: t.lastSeen}
	c.candidates[at] = route.Candidate{Availability: route.Gone}
	c.freeIndexes = append(c.freeIndexes, at)
}

// refreshTarget updates the target's candidate and the total load.
func (c *Controller) refreshTarget(now time.Time, at int) {
	candidate := &c.candidates[at]
	t := c.targets[at]
	c.subtractLoad(candidate)
	limit, warming := t.currentLimit(c)
	candidate.Limit = int32(limit)
	candidate.Warming = warming
	admitted := candidate.Admits()
	candidate.Availability = t.availability(now, c)
	c.addLoad(now, candidate)
	if admitted && !candidate.Admits() {
		c.queue.resumeForTarget(at, now)
	}
	if next := t.nextAvailabilityChange(now, c); next.Before(c.nextRefresh) {
		c.nextRefresh = next
	}
}

func (c *Controller) subtractLoad(candidate *route.Candidate) {
	if candidate.Admits() {
		c.load.Targets--
		c.load.InFlight -= int(candidate.InFlight)
	}
}

func (c *Controller) addLoad(now time.Time, candidate *route.Candidate) {
	if candidate.Admits() {
		c.load.Targets++
		c.load.InFlight += int(candidate.InFlight)
	}
	if c.load.Targets == 0 && c.noTargetsSince.IsZero() {
		c.noTargetsSince = now
	}
	if c.load.Targets > 0 {
		c.noTargetsSince = time.Time{}
	}
}

// addInFlight adds change to the number in flight on a target.
func (c *Controller) addInFlight(now time.Time, at, change int) {
	candidate := &c.candidates[at]
	c.subtractLoad(candidate)
	candidate.InFlight += int32(change)
	c.targets[at].peakInFlight.observe(now, int(candidate.InFlight))
	c.addLoad(now, candidate)
}

// farFuture is later than any refresh.
const farFuture = 100 * 365 * 24 * time.Hour

// refreshTargets updates every target to the given time.
func (c *Controller) refreshTargets(now time.Time) {
	c.nextRefresh = now.Add(farFuture)
	for at := range c.targets {
		c.refreshTarget(now, at)
		c.forgetStaleTarget(now, at)
	}
}

// advance updates the state to the given time if a change is due. Every message
// handler calls it first and calls dispatch at its end, to grant what the message made
// room for.
func (c *Controller) advance(now time.Time) {
	if !now.Before(c.nextRefresh) {
		c.refreshTargets(now)
	}
}

// TakeEffects returns and clears the effects since the last call.
func (c *Controller) TakeEffects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}
