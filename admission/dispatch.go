package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
)

// dispatch grants permits while there is room: first to requests whose warm target has
// room, within the bounds of fairness, then to the request at the head of the queue.
func (c *Controller) dispatch(now time.Time) {
	if !c.adopted {
		return
	}
	c.queue.resumeExpired(now)
	var skipped []*queuedRequest
	for c.queue.len() > 0 {
		bound := c.bound()
		hasRoom := func(target int) bool { return c.candidates[target].CheckCapacity(bound) == route.Open }
		if item := c.queue.nextWarm(hasRoom); item != nil {
			c.grantWarm(now, item)
			continue
		}
		item := c.queue.head()
		if item == nil || !c.serveNext(now, item, &skipped) {
			break
		}
	}
	for _, item := range skipped {
		if c.queue.byID[item.request.ID] == item {
			c.queue.enqueue(item)
		}
	}
}

// serveNext handles the request at the head of the queue. It returns false if the
// request must stay there because no target has room.
func (c *Controller) serveNext(now time.Time, item *queuedRequest, skipped *[]*queuedRequest) bool {
	switch {
	case !now.Before(item.expiresAt):
		c.refuseQueued(now, item, RefusedDeadline, "the deadline passed in the queue")
	case c.shouldWaitForWarm(item):
		c.queue.clearWarmTarget(item)
		c.queue.setWarmTarget(item, c.chatQuery(item).WarmTargets[0])
		c.queue.deferUntil(item, now.Add(c.options.warmWait))
	case c.grantOrRefuse(now, item):
	case len(item.request.Exclude) > 0:
		// Other requests that have not tried those targets may find room.
		c.queue.dequeue(item)
		*skipped = append(*skipped, item)
	default:
		return false
	}
	return true
}

// bound returns the largest number in flight on one target. The mean is taken over all
// admitting targets, unless every target within that bound is full by its own limit.
func (c *Controller) bound() int {
	bound := c.factor.Bound(c.load)
	for i := range c.candidates {
		if c.candidates[i].CheckCapacity(bound) == route.Open {
			return bound
		}
	}
	return max(bound, c.factor.Bound(route.LoadBelowLimit(c.candidates)))
}

// grantWarm grants a request on its warm target, unless the chat has moved since it
// was queued or the request has already tried that target.
func (c *Controller) grantWarm(now time.Time, item *queuedRequest) {
	lookup := c.chatQuery(item)
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
// short time for its warm target, which has no room now. It need not wait if the
// chat's context can be moved to another target.
func (c *Controller) shouldWaitForWarm(item *queuedRequest) bool {
	if c.options.warmWait <= 0 || !item.deferredUntil.IsZero() {
		return false
	}
	lookup := c.chatQuery(item)
	if lookup.WarmTargets[0] == route.None || contains(lookup.Excluded, lookup.WarmTargets[0]) {
		return false
	}
	if secondary := lookup.WarmTargets[1]; secondary != route.None && c.isOpenFor(&lookup, secondary) {
		return false
	}
	warm := lookup.WarmTargets[0]
	if c.targets[warm].announcement.SupportsCacheTransfer {
		return false
	}
	return c.candidates[warm].Admits() && !c.isOpenFor(&lookup, warm)
}

// isOpenFor reports whether the request may run on the target now.
func (c *Controller) isOpenFor(lookup *chatLookup, at int) bool {
	return !contains(lookup.Excluded, at) && c.candidates[at].CheckCapacity(lookup.Bound) == route.Open
}

// grantOrRefuse grants or refuses a queued request. It returns false if the request
// must keep waiting.
func (c *Controller) grantOrRefuse(now time.Time, item *queuedRequest) bool {
	lookup := c.chatQuery(item)
	choice := c.options.choose(&lookup.Query, c.candidates)
	if choice.Target != route.None {
		c.grant(now, item, &lookup, &choice)
		return true
	}
	if c.load.Targets > 0 && c.allTargetsExcluded(lookup.Excluded) {
		c.refuseQueued(now, item, RefusedNoTarget, "every target was tried")
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

func (c *Controller) chatQuery(item *queuedRequest) chatLookup {
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
		if at, found := c.byName[name]; found {
			lookup.Excluded = append(lookup.Excluded, at)
		}
	}
	return lookup
}

func (c *Controller) targetOfInstance(instance chat.InstanceID) int {
	if instance == chat.NoInstance || int(instance) >= len(c.byInstance) {
		return route.None
	}
	at := c.byInstance[instance]
	if c.targets[at].instance != instance {
		return route.None
	}
	return at
}

func (c *Controller) allTargetsExcluded(tried []int) bool {
	admitting := c.load.Targets
	for i, at := range tried {
		if c.candidates[at].Admits() && !contains(tried[:i], at) {
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
