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
	index, known := c.byName[announcement.Name]
	if !known && announcement.Service != c.config.Service.Name {
		return true
	}
	if !known {
		index = c.ensureTarget(now, announcement.Name)
	}
	t := c.targets[index]
	if t.membershipStamp.After(announcement.Stamp) {
		return false
	}
	if t.hasAnnounced && t.membershipStamp == announcement.Stamp {
		c.refreshAnnounced(now, index)
		return !t.left
	}
	c.startIncarnation(index, announcement.Incarnation)
	t.hasAnnounced = true
	t.left = false
	t.superseded = false
	t.membershipStamp = announcement.Stamp
	t.announcement = announcement
	t.markSeen(now)
	t.warmUp.setReportedCold(announcement.Cold)
	c.openInstance(index)
	c.refreshTarget(now, index)
	return true
}

// refreshAnnounced handles a resent copy of the latest announcement, which serves as
// the heartbeat of a target that sends no load reports.
func (c *Controller) refreshAnnounced(now time.Time, index int) {
	if t := c.targets[index]; !t.left && !t.superseded {
		t.markSeen(now)
		c.refreshTarget(now, index)
	}
}

// startIncarnation resets the target's state for a new incarnation. Permits of earlier
// incarnations still count until they are released, since one that is not sent yet
// will reach the new process, which listens at the same address.
func (c *Controller) startIncarnation(index int, incarnation uint64) {
	t := c.targets[index]
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

// openInstance sets the target's instance to that of its current incarnation.
func (c *Controller) openInstance(index int) {
	t := c.targets[index]
	t.instance = c.locations.Open(t.name, t.incarnation, t.announcement.CacheCapacityChats)
	c.bindInstance(t.instance, index)
}

func (c *Controller) bindInstance(instance chat.InstanceID, index int) {
	for len(c.byInstance) <= int(instance) {
		c.byInstance = append(c.byInstance, 0)
	}
	if instance != chat.NoInstance {
		c.byInstance[instance] = index
	}
}

// resolveSender finds the target that sent a message. known is false if the target or
// its incarnation has not announced itself yet, and current is false if the message is
// from an older incarnation.
func (c *Controller) resolveSender(now time.Time, name string, incarnation uint64) (index int, known, current bool) {
	index, known = c.byName[name]
	if !known || !c.targets[index].hasAnnounced {
		return 0, false, false
	}
	t := c.targets[index]
	if incarnation > t.incarnation {
		t.superseded = true
		c.refreshTarget(now, index)
		return index, false, false
	}
	return index, true, incarnation == t.incarnation
}

// HandleLoadReport applies a load report, which is also the target's heartbeat. It
// returns false if the target or its incarnation is unknown and should be asked to
// announce itself again.
func (c *Controller) HandleLoadReport(now time.Time, report target.LoadReport) bool {
	c.advance(now)
	defer c.dispatch(now)
	index, known, current := c.resolveSender(now, report.Name, report.Incarnation)
	if !known || !current {
		return known
	}
	t := c.targets[index]
	if !report.Stamp.After(t.loadReportStamp) {
		return true
	}
	t.loadReportStamp = report.Stamp
	t.markSeen(now)
	t.warmUp.setReportedCold(report.Cold)
	t.peakInFlight.observe(now, int(c.candidates[index].InFlight))
	t.externalLoad = max(report.InFlight+report.Queued-t.peakInFlight.max(), 0)
	c.refreshTarget(now, index)
	return true
}

// HandleCacheEvent applies a cache event. It returns false if the target or its
// incarnation is unknown.
func (c *Controller) HandleCacheEvent(now time.Time, event target.CacheEvent) bool {
	c.advance(now)
	defer c.dispatch(now)
	index, known, current := c.resolveSender(now, event.Name, event.Incarnation)
	if !known || !current {
		return known
	}
	// The event may have closed the instance and opened a new one.
	c.locations.ApplyEvent(now, event)
	c.targets[index].instance = c.locations.InstanceOf(event.Name)
	c.bindInstance(c.targets[index].instance, index)
	return true
}

// HandleLeave stops granting permits for a target that is leaving.
func (c *Controller) HandleLeave(now time.Time, leave target.Leave) {
	c.advance(now)
	defer c.dispatch(now)
	index := c.ensureTarget(now, leave.Name)
	t := c.targets[index]
	if t.membershipStamp.After(leave.Stamp) {
		return
	}
	c.startIncarnation(index, leave.Incarnation)
	t.membershipStamp = leave.Stamp
	t.seenDirectly = true
	t.left = true
	c.refreshTarget(now, index)
}
