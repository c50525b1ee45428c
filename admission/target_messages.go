package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/target"
)

// HandleAnnouncement applies a target's announcement. It returns false if a newer
// announcement or leave is known.
func (c *Controller) HandleAnnouncement(now time.Time, announcement target.Announcement) bool {
	c.advance(now)
	defer c.dispatch(now)
	at, known := c.byName[announcement.Name]
	if !known && announcement.Service != c.config.Service.Name {
		return true
	}
	if !known {
		at = c.ensureTarget(now, announcement.Name)
	}
	t := c.targets[at]
	if t.membershipStamp.After(announcement.Stamp) {
		return false
	}
	if t.known && t.membershipStamp == announcement.Stamp {
		c.refreshAnnounced(now, at)
		return !t.left
	}
	c.startIncarnation(at, announcement.Incarnation)
	t.known = true
	t.left = false
	t.superseded = false
	t.membershipStamp = announcement.Stamp
	t.announcement = announcement
	t.markSeen(now)
	t.warmUp.setReportedCold(announcement.Cold)
	c.openInstance(at)
	c.refreshTarget(now, at)
	return true
}

// refreshAnnounced handles a repetition of the newest announcement, which serves as
// the heartbeat of a target that sends no load reports.
func (c *Controller) refreshAnnounced(now time.Time, at int) {
	if t := c.targets[at]; !t.left && !t.superseded {
		t.markSeen(now)
		c.refreshTarget(now, at)
	}
}

// startIncarnation resets the target's state for a new incarnation. Permits of earlier
// incarnations still count until they are released, since one that is not sent yet
// will reach the new process, which listens at the same address.
func (c *Controller) startIncarnation(at int, incarnation uint64) {
	t := c.targets[at]
	if t.incarnation == incarnation {
		return
	}
	*t = targetState{name: t.name, incarnation: incarnation, lastSeen: t.lastSeen}
}

// isCurrentIncarnation reports whether the permit is for the target's current
// incarnation. Only then does its outcome say anything about the target.
func (c *Controller) isCurrentIncarnation(active *activePermit) bool {
	return active.permit.Incarnation == c.targets[active.target].incarnation
}

func (c *Controller) openInstance(at int) {
	t := c.targets[at]
	t.instance = c.locations.Open(t.name, t.incarnation, t.announcement.CacheCapacityChats)
	c.bindInstance(t.instance, at)
}

func (c *Controller) bindInstance(instance chat.InstanceID, at int) {
	for len(c.byInstance) <= int(instance) {
		c.byInstance = append(c.byInstance, 0)
	}
	if instance != chat.NoInstance {
		c.byInstance[instance] = at
	}
}

// resolveSender finds the target that sent a message. A newer incarnation stays
// unknown until its announcement arrives.
func (c *Controller) resolveSender(now time.Time, name string, incarnation uint64) (at int, known, current bool) {
	at, known = c.byName[name]
	if !known || !c.targets[at].known {
		return 0, false, false
	}
	t := c.targets[at]
	if incarnation > t.incarnation {
		t.superseded = true
		c.refreshTarget(now, at)
		return at, false, false
	}
	return at, true, incarnation == t.incarnation
}

// HandleLoadReport applies a load report, which is also the target's heartbeat. It
// returns false if the target or its incarnation is unknown and should be asked to
// announce itself again.
func (c *Controller) HandleLoadReport(now time.Time, report target.LoadReport) bool {
	c.advance(now)
	defer c.dispatch(now)
	at, known, current := c.resolveSender(now, report.Name, report.Incarnation)
	if !known || !current {
		return known
	}
	t := c.targets[at]
	if !report.Stamp.After(t.loadReportStamp) {
		return true
	}
	t.loadReportStamp = report.Stamp
	t.markSeen(now)
	t.warmUp.setReportedCold(report.Cold)
	t.peakInFlight.observe(now, int(c.candidates[at].InFlight))
	t.externalLoad = max(report.InFlight+report.Queued-t.peakInFlight.max(), 0)
	c.refreshTarget(now, at)
	return true
}

// HandleCacheEvent applies a cache event. It returns false if the target or its
// incarnation is unknown.
func (c *Controller) HandleCacheEvent(now time.Time, event target.CacheEvent) bool {
	c.advance(now)
	defer c.dispatch(now)
	at, known, current := c.resolveSender(now, event.Name, event.Incarnation)
	if !known || !current {
		return known
	}
	c.locations.ApplyEvent(now, event)
	c.targets[at].instance = c.locations.InstanceOf(event.Name)
	c.bindInstance(c.targets[at].instance, at)
	return true
}

// HandleLeave stops new requests to a target that is leaving.
func (c *Controller) HandleLeave(now time.Time, leave target.Leave) {
	c.advance(now)
	defer c.dispatch(now)
	at := c.ensureTarget(now, leave.Name)
	t := c.targets[at]
	if t.membershipStamp.After(leave.Stamp) {
		return
	}
	c.startIncarnation(at, leave.Incarnation)
	t.membershipStamp = leave.Stamp
	t.seenDirectly = true
	t.left = true
	c.refreshTarget(now, at)
}
