package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/target"
)

// ExportedState is what a backup host holds of a service, so that a new owner knows its
// targets and chats.
type ExportedState struct {
	// Current is set by an owner that hands over. The targets of any other copy
	// get no work until the new owner hears of them, since they may have left
	// or turned cold after the copy was made.
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
	// SilentFor is the time since its last message.
	SilentFor time.Duration
	// CompletedRequests is the number of requests completed since it was cold.
	CompletedRequests int
	// ReportedCold is set while its newest report says that it is cold.
	ReportedCold bool
}

// Export returns the targets and up to limit chats that changed since they were
// last exported; with limit 0 all targets and chats.
func (s *Controller) Export(now time.Time, limit int) ExportedState {
	out := ExportedState{Current: (s.adopted || s.suspended) && limit <= 0}
	for _, t := range s.targets {
		due := limit <= 0 || t.exported != t.exportable(s) || now.Sub(t.exportedAt) >= exportAgain
		if t.known && due {
			t.exported, t.exportedAt = t.exportable(s), now
			out.Targets = append(out.Targets, t.copied(now))
		}
	}
	if limit > 0 {
		out.Chats = s.memory.TakeChanges(now, limit)
	} else {
		out.Chats = s.memory.All(now)
	}
	return out
}

// exportAgain is the time after which a target is exported again though it did
// not change, since copies may be lost on their way.
const exportAgain = 30 * time.Second

// exportable is what of a target is worth another export when it changes.
type exportable struct {
	announced target.Stamp
	left      bool
	cold      bool
	completed int
}

func (t *targetState) exportable(s *Controller) exportable {
	done := min(t.warmUp.done, s.config.Service.WarmUp.RampRequests)
	return exportable{t.announced, t.left, t.warmUp.reported, done}
}

func (t *targetState) copied(now time.Time) ExportedTarget {
	return ExportedTarget{
		Announcement:      t.announcement,
		MembershipStamp:   t.announced,
		Left:              t.left,
		SilentFor:         now.Sub(t.lastSeen),
		CompletedRequests: t.warmUp.done,
		ReportedCold:      t.warmUp.reported,
	}
}

// Import takes what another owner exported; copies are given in the order in
// which they were made. What the targets themselves told this owner stays. A
// backup may keep the copies in a Service of its own that is never adopted, and
// export all of it to the new owner.
func (s *Controller) Import(now time.Time, in ExportedState) {
	s.advance(now)
	defer s.pump(now)
	for _, copied := range in.Targets {
		s.importTarget(now, copied, in.Current)
	}
	s.memory.Merge(now, in.Chats)
	for at, t := range s.targets {
		t.place = s.memory.InstanceOf(t.name)
		s.bindPlace(t.place, at)
	}
}

func (s *Controller) importTarget(now time.Time, copied ExportedTarget, current bool) {
	at := s.slot(now, copied.Announcement.Name)
	t := s.targets[at]
	if t.announced.After(copied.MembershipStamp) {
		return
	}
	if t.heard {
		s.importProgress(now, at, copied, current)
		return
	}
	s.enter(at, copied.MembershipStamp.Incarnation)
	t.known = true
	t.left = copied.Left
	t.announced = copied.MembershipStamp
	t.announcement = copied.Announcement
	silent := copied.SilentFor
	if !current {
		silent = max(silent, s.options.suspectAfter)
	}
	t.lastSeen = now.Add(-silent)
	t.warmUp = warmUp{done: copied.CompletedRequests, reported: copied.ReportedCold}
	t.warmUp.bore(s.config.Service.WarmUp, t.full(s), int(s.candidates[at].InFlight))
	s.openPlace(at)
	s.sync(now, at)
}

// importProgress takes the warm-up progress of a target that told this owner
// something already, unless that it is cold.
func (s *Controller) importProgress(now time.Time, at int, copied ExportedTarget, current bool) {
	t := s.targets[at]
	if !current || t.warmUp.reported || t.incarnation != copied.MembershipStamp.Incarnation {
		return
	}
	t.warmUp.done = max(t.warmUp.done, copied.CompletedRequests)
	s.sync(now, at)
}
