package admission

import (
	"strconv"
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
)

// dispatch grants permits while targets have capacity: first to requests whose warm
// target has capacity, within the limits of fairness, then to the request at the head
// of the queue.
func (c *Controller) dispatch(now time.Time) {
	if !c.granting {
		return
	}
	c.queue.resumeExpired(now)
	var setAside []*queuedRequest
	for c.queue.len() > 0 {
		bound := c.bound()
		hasCapacity := func(target int) bool { return c.candidates[target].CheckCapacity(bound) == route.Available }
		if item := c.queue.nextWarm(hasCapacity); item != nil {
			c.grantWarm(now, item)
			continue
		}
		item := c.queue.head()
		if item == nil || !c.serveNext(now, item, &setAside) {
			break
		}
	}
	for _, item := range setAside {
		if c.queue.byID[item.request.ID] == item {
			c.queue.insertIntoWorkspace(item)
		}
	}
}

// serveNext handles the request at the head of the queue. It returns false if the
// request must stay there because no target has capacity. A request that excludes
// targets and cannot be granted now is added to setAside, so that the following ones
// get their turn, and dispatch reinserts it at its end.
func (c *Controller) serveNext(now time.Time, item *queuedRequest, setAside *[]*queuedRequest) bool {
	switch {
	case !now.Before(item.expiresAt):
		c.refuseQueued(now, item, RefusedDeadline, "the deadline passed in the queue")
	case c.shouldWaitForWarm(item):
		c.queue.clearWarmTarget(item)
		c.queue.setWarmTarget(item, c.lookUpChat(item).WarmTargets[0])
		c.queue.deferUntil(item, now.Add(c.options.warmWait))
	case c.grantOrRefuse(now, item):
	case len(item.request.Exclude) > 0 || item.request.RequiresVersion:
		// Other requests that have not tried those targets, or may run on others, may be granted.
		c.queue.removeFromWorkspace(item)
		*setAside = append(*setAside, item)
	default:
		return false
	}
	return true
}

// bound returns the load bound. The mean is taken over all admitting targets, unless
// every target within that bound has reached its own limit.
func (c *Controller) bound() int {
	bound := c.factor.Bound(c.load)
	for i := range c.candidates {
		if c.candidates[i].CheckCapacity(bound) == route.Available {
			return bound
		}
	}
	return max(bound, c.factor.Bound(route.LoadBelowLimit(c.candidates)))
}

// grantWarm grants a request on its warm target, unless the chat has moved since it
// was queued or the request has already tried that target.
func (c *Controller) grantWarm(now time.Time, item *queuedRequest) {
	lookup := c.lookUpChat(item)
	if lookup.WarmTargets[0] != item.warmTarget || contains(lookup.Excluded, item.warmTarget) {
		c.queue.clearWarmTarget(item)
		c.queue.resumeRequest(item, now)
		if lookup.WarmTargets[0] != route.None && !contains(lookup.Excluded, lookup.WarmTargets[0]) {
			c.queue.setWarmTarget(item, lookup.WarmTargets[0])
		}
		return
	}
	choice := c.options.choose(&lookup.Query, c.candidates)
	c.grant(now, item, &lookup, &choice)
}

// shouldWaitForWarm reports whether the request at the head of the queue should wait a
// short time for its warm target, which is at capacity now. A request waits only once,
// and it need not wait if the chat's cached context can be transferred to another
// target.
func (c *Controller) shouldWaitForWarm(item *queuedRequest) bool {
	if c.options.warmWait <= 0 || !item.deferredUntil.IsZero() {
		return false
	}
	lookup := c.lookUpChat(item)
	if lookup.WarmTargets[0] == route.None || contains(lookup.Excluded, lookup.WarmTargets[0]) {
		return false
	}
	if second := lookup.WarmTargets[1]; second != route.None && c.hasCapacityFor(&lookup, second) {
		return false
	}
	warm := lookup.WarmTargets[0]
	if c.targets[warm].announcement.SupportsCacheTransfer {
		return false
	}
	return c.candidates[warm].Admits() && !c.hasCapacityFor(&lookup, warm)
}

// hasCapacityFor reports whether the target has capacity for the request now.
func (c *Controller) hasCapacityFor(lookup *chatLookup, index int) bool {
	return !contains(lookup.Excluded, index) && c.candidates[index].CheckCapacity(lookup.Bound) == route.Available
}

// grantOrRefuse grants or refuses a queued request. It returns false if the request
// must keep waiting.
func (c *Controller) grantOrRefuse(now time.Time, item *queuedRequest) bool {
	lookup := c.lookUpChat(item)
	choice := c.options.choose(&lookup.Query, c.candidates)
	if choice.Target != route.None {
		c.grant(now, item, &lookup, &choice)
		return true
	}
	if c.load.Targets > 0 && c.allTargetsExcluded(lookup.Excluded) {
		c.refuseQueued(now, item, RefusedNoTarget, allExcludedMessage(&item.request))
		return true
	}
	return false
}

// chatLookup is a routing query with the location of the request's chat.
type chatLookup struct {
	route.Query
	location chat.Location
	// lastTarget is the target where the chat ran last, or route.None.
	lastTarget int
}

// lookUpChat returns the routing query for a queued request. A displaced chat prefers
// the target that it left, once that target admits new requests again.
func (c *Controller) lookUpChat(item *queuedRequest) chatLookup {
	location := c.locations.Find(item.chat)
	lookup := chatLookup{location: location, lastTarget: c.targetOfInstance(location.Last)}
	lookup.Query = route.Query{
		Chat:        uint64(item.chat),
		WarmTargets: [2]int{lookup.lastTarget, c.targetOfInstance(location.Second)},
		Bound:       c.bound(),
		Choices:     c.options.choices,
	}
	if location.Displaced && lookup.WarmTargets[1] != route.None && c.candidates[lookup.WarmTargets[1]].Admits() {
		lookup.WarmTargets[0], lookup.WarmTargets[1] = lookup.WarmTargets[1], lookup.WarmTargets[0]
	}
	for _, name := range item.request.Exclude {
		if index, found := c.byName[name]; found {
			lookup.Excluded = append(lookup.Excluded, index)
		}
	}
	if item.request.RequiresVersion {
		for index, t := range c.targets {
			if t.announcement.Version != item.request.Version {
				lookup.Excluded = append(lookup.Excluded, index)
			}
		}
	}
	return lookup
}

// allExcludedMessage returns why no target may run a request.
func allExcludedMessage(request *Request) string {
	if request.RequiresVersion {
		return "no other target has version " + strconv.Quote(request.Version)
	}
	return "every target was tried"
}

// targetOfInstance returns the index of the target with the instance, or route.None if
// the target has another instance by now.
func (c *Controller) targetOfInstance(instance chat.InstanceID) int {
	if instance == chat.NoInstance || int(instance) >= len(c.byInstance) {
		return route.None
	}
	index := c.byInstance[instance]
	if c.targets[index].instance != instance {
		return route.None
	}
	return index
}

// allTargetsExcluded reports whether every admitting target is in the list.
func (c *Controller) allTargetsExcluded(excluded []int) bool {
	admitting := c.load.Targets
	for i, index := range excluded {
		if c.candidates[index].Admits() && !contains(excluded[:i], index) {
			admitting--
		}
	}
	return admitting == 0
}

func contains(list []int, item int) bool {
	for _, other := range list {
		if other == item {
			return true
		}
	}
	return false
}
