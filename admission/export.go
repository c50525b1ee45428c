package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/target"
)

// ExportedState is a copy of a service's targets and chat locations. Backup hosts keep
// it for a new owner.
type ExportedState struct {
	// Current is set in the export of an owner that hands the service over. With any
	// other export, the targets get no requests until the new owner receives a message
	// from them, since they may have left or turned cold after the export.
	Current bool
	Targets []ExportedTarget
	Chats   chat.Batch
}

// ExportedTarget is one target with its warm-up progress.
type ExportedTarget struct {
	Announcement target.Announcement
	// MembershipStamp is the stamp of the newest announcement or leave.
	MembershipStamp target.Stamp
	Left            bool
	// SilentFor is the time since the target's last message.
	SilentFor time.Duration
	// CompletedRequests is the number of requests completed since the target was cold.
	CompletedRequests int
	// ReportedCold is set while the target's newest report says that it is cold.
	ReportedCold bool
}

// Export returns the targets and up to limit chats that changed since their last
// export; with limit 0, all targets and chats.
func (c *Controller) Export(now time.Time, limit int) ExportedState {
	exported := ExportedState{Current: (c.adopted || c.suspended) && limit <= 0}
	for _, t := range c.targets {
		isDue := limit <= 0 || t.lastExport != t.exportedFields(c) || now.Sub(t.lastExportAt) >= reexportInterval
		if t.known && isDue {
			t.lastExport, t.lastExportAt = t.exportedFields(c), now
			exported.Targets = append(exported.Targets, t.exportState(now))
		}
	}
	if limit > 0 {
		exported.Chats = c.locations.TakeChanges(now, limit)
	} else {
		exported.Chats = c.locations.All(now)
	}
	return exported
}

// reexportInterval is the time after which an unchanged target is exported again,
// since an export may be lost in transit.
const reexportInterval = 30 * time.Second

// exportedFields are the fields of a target whose change causes another export.
type exportedFields struct {
	membershipStamp target.Stamp
	left            bool
	reportedCold    bool
	completed       int
}

func (t *targetState) exportedFields(c *Controller) exportedFields {
	completed := min(t.warmUp.completed, c.config.Service.WarmUp.RampRequests)
	return exportedFields{t.membershipStamp, t.left, t.warmUp.reportedCold, completed}
}

func (t *targetState) exportState(now time.Time) ExportedTarget {
	return ExportedTarget{
		Announcement:      t.announcement,
		MembershipStamp:   t.membershipStamp,
		Left:              t.left,
		SilentFor:         now.Sub(t.lastSeen),
		CompletedRequests: t.warmUp.completed,
		ReportedCold:      t.warmUp.reportedCold,
	}
}

// Import merges the state that another owner exported. Exports must be imported in the
// order in which they were made. State that this owner received from the targets
// themselves takes precedence. A backup may merge exports into a Controller that never
// completes adoption, and export all of it to the new owner.
func (c *Controller) Import(now time.Time, exported ExportedState) {
	c.advance(now)
	defer c.dispatch(now)
	for _, copied := range exported.Targets {
		c.importTarget(now, copied, exported.Current)
	}
	c.locations.Merge(now, exported.Chats)
	for at, t := range c.targets {
		t.instance = c.locations.InstanceOf(t.name)
		c.bindInstance(t.instance, at)
	}
}

func (c *Controller) importTarget(now time.Time, copied ExportedTarget, current bool) {
	at := c.ensureTarget(now, copied.Announcement.Name)
	t := c.targets[at]
	if t.membershipStamp.After(copied.MembershipStamp) {
		return
	}
	if t.seenDirectly {
		c.importWarmUp(now, at, copied, current)
		return
	}
	c.startIncarnation(at, copied.MembershipStamp.Incarnation)
	t.known = true
	t.left = copied.Left
	t.membershipStamp = copied.MembershipStamp
	t.announcement = copied.Announcement
	silentFor := copied.SilentFor
	if !current {
		silentFor = max(silentFor, c.options.suspectAfter)
	}
	t.lastSeen = now.Add(-silentFor)
	t.warmUp = warmUp{completed: copied.CompletedRequests, reportedCold: copied.ReportedCold}
	t.warmUp.raiseToInFlight(c.config.Service.WarmUp, t.warmLimit(c), int(c.candidates[at].InFlight))
	c.openInstance(at)
	c.refreshTarget(now, at)
}

// importWarmUp takes over the warm-up progress of a target that has already sent this
// owner a message, unless the target reported that it is cold.
func (c *Controller) importWarmUp(now time.Time, at int, copied ExportedTarget, current bool) {
	t := c.targets[at]
	if !current || t.warmUp.reportedCold || t.incarnation != copied.MembershipStamp.Incarnation {
		return
	}
	t.warmUp.completed = max(t.warmUp.completed, copied.CompletedRequests)
	c.refreshTarget(now, at)
}
