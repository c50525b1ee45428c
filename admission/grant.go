package admission

import (
	"time"

	"comfreytiller.dev/route"
)

// grant issues a permit for a queued request.
func (c *Controller) grant(now time.Time, item *queuedRequest, lookup *chatLookup, choice *route.Choice) {
	c.queue.serve(item)
	item.workspace.dispatchRate.add(now)
	item.workspace.inFlight++
	t := c.targets[choice.Target]
	reason := reasonOf(lookup, choice)
	waited := now.Sub(item.enqueuedAt)
	active := &activePermit{
		permit: Permit{
			RequestID:          item.request.ID,
			Host:               item.request.Host,
			Service:            item.request.Service,
			Workspace:          item.request.Workspace,
			Chat:               item.request.Chat,
			Target:             t.name,
			Incarnation:        t.incarnation,
			Version:            t.announcement.Version,
			Address:            t.announcement.Address,
			FencingToken:       c.fencingToken,
			ValidFor:           waited + c.options.permitValidity,
			Warm:               choice.Warm,
			Waited:             waited,
			Reason:             reason.String(),
			ChecksFencingToken: t.announcement.ChecksFencingToken,
			SupportsResume:     t.announcement.SupportsResume,
			CacheSource:        c.cacheSource(now, lookup, choice.Target),
		},
		target:    choice.Target,
		workspace: item.workspace,
		chat:      item.chat,
		probe:     t.circuit.open,
	}
	displaced := lookup.lastTarget != route.None && !c.candidates[lookup.lastTarget].Admits()
	active.chatMoved = c.locations.RecordUse(now, item.chat, t.instance, displaced)
	t.circuit.recordGrant()
	c.addInFlight(now, choice.Target, 1)
	if active.probe {
		c.refreshTarget(now, choice.Target)
	}
	c.permits[item.request.ID] = active
	c.metrics.recordGrant(reason, waited)
	permit := active.permit
	c.effects = append(c.effects, Effect{
		Host:     item.request.Host,
		Permit:   &permit,
		Decision: c.permitDecision(item, &permit, lookup.Bound, choice),
	})
}

// reasonOf returns why the target was chosen.
func reasonOf(lookup *chatLookup, choice *route.Choice) route.Reason {
	switch {
	case lookup.Chat == 0:
		return route.LeastLoaded
	case !choice.Warm:
		return route.Hashed
	case choice.Target == lookup.lastTarget && lookup.location.Certain:
		return route.Warm
	case choice.Target == lookup.lastTarget:
		return route.Uncertain
	case lookup.location.Displaced && choice.Target == lookup.WarmTargets[0]:
		return route.Home
	}
	return route.Second
}

// cacheSource returns the address of the target that holds the latest cached context of
// the chat, if the chosen target can import it from there.
func (c *Controller) cacheSource(now time.Time, lookup *chatLookup, chosen int) string {
	if lookup.lastTarget == route.None || lookup.lastTarget == chosen || !c.targets[chosen].announcement.SupportsCacheTransfer {
		return ""
	}
	source := c.targets[lookup.lastTarget]
	if !source.announcement.SupportsCacheTransfer || source.superseded || now.Sub(source.lastSeen) >= c.options.suspectAfter {
		return ""
	}
	return source.announcement.Address
}
