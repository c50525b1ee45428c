package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/target"
)

// ExportedState is the state of a service, its targets and chat locations, that backup
// hosts keep for a new owner.
type ExportedState struct {
	// Current is set in a full export of an owner, which must clear it unless it hands
	// the service over. If it is not set, the targets get no requests until the new owner
	// receives a message from them, since they may have left or turned cold after the
	// export.
	Current bool
	Targets []ExportedTarget
	Chats   chat.Batch
}

// ExportedTarget is one target with its warm-up progress.
type ExportedTarget struct {
	Announcement target.Announcement
	// MembershipStamp is the stamp of the latest announcement or leave.
	MembershipStamp target.Stamp
	Left            bool
	// SilentFor is the time since the target's last message.
	SilentFor time.Duration
	// CompletedRequests is the number of requests completed since the target was cold.
	CompletedRequests int
	// ReportedCold is set while the target's latest report says that it is cold.
	ReportedCold bool
}

// Export returns the targets and up to limit chats that changed since their last
// export; with limit 0, all targets and chats.
func (c *Controller) Export(now time.Time, limit int) ExportedState {
	exported := ExportedState{Current: (c.granting || c.suspended) && limit <= 0}
	for _, t := range c.targets {
		isDue := limit <= 0 || t.lastExport != t.exportedFields(c) || now.Sub(t.lastExportAt) >= reexportInterval
		if t.hasAnnounced && isDue {
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

// Import merges the service state that another owner exported. Exports must be imported
// in the order in which they were made. State that this owner received from the targets
// themselves takes precedence. A backup may merge exports into a Controller that never
// grants permits, and export all of its state to the new owner.
func (c *Controller) Import(now time.Time, exported ExportedState) {
	c.advance(now)
	defer c.dispatch(now)
	for _, exportedTarget := range exported.Targets {
		c.importTarget(now, exportedTarget, exported.Current)
	}
	c.locations.Merge(now, exported.Chats)
	for index, t := range c.targets {
		t.instance = c.locations.InstanceOf(t.name)
		c.bindInstance(t.instance, index)
	}
}

// importTarget merges one target. current is the Current field of the export.
func (c *Controller) importTarget(now time.Time, exportedTarget ExportedTarget, current bool) {
	index := c.ensureTarget(now, exportedTarget.Announcement.Name)
	t := c.targets[index]
	if t.membershipStamp.After(exportedTarget.MembershipStamp) {
		return
	}
	if t.seenDirectly {
		c.importWarmUp(now, index, exportedTarget, current)
		return
	}
	c.startIncarnation(index, exportedTarget.MembershipStamp.Incarnation)
	t.hasAnnounced = true
	t.left = exportedTarget.Left
	t.membershipStamp = exportedTarget.MembershipStamp
	t.announcement = exportedTarget.Announcement
	silentFor := exportedTarget.SilentFor
	if !current {
		silentFor = max(silentFor, c.options.suspectAfter)
	}
	t.lastSeen = now.Add(-silentFor)
	t.warmUp = warmUp{completed: exportedTarget.CompletedRequests, reportedCold: exportedTarget.ReportedCold}
	t.warmUp.raiseToInFlight(c.config.Service.WarmUp, t.warmLimit(c), int(c.candidates[index].InFlight))
	c.openInstance(index)
	c.refreshTarget(now, index)
}

// importWarmUp takes over the warm-up progress of a target that has already sent this
// owner a message, unless the target reported that it is cold.
func (c *Controller) importWarmUp(now time.Time, index int, exportedTarget ExportedTarget, current bool) {
	t := c.targets[index]
	if !current || t.warmUp.reportedCold || t.incarnation != exportedTarget.MembershipStamp.Incarnation {
		return
	}
	t.warmUp.completed = max(t.warmUp.completed, exportedTarget.CompletedRequests)
	c.refreshTarget(now, index)
}
