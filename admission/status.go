package admission

import (
	"cmp"
	"slices"
	"time"

	"comfreytiller.dev/route"
)

// Status is the state of one service, for operators.
type Status struct {
	Service      string
	FencingToken uint64
	// Granting is set while grants are enabled. It is false while a new owner is still
	// counting the permits of earlier owners, and while the owner is suspended.
	Granting bool
	InFlight int
	// Mean is the mean number in flight over the admitting targets.
	Mean    float64
	Chats   int
	Targets []TargetStatus
	// Workspaces lists those with requests queued or in flight.
	Workspaces []WorkspaceStatus
}

// TargetStatus is the state of one target.
type TargetStatus struct {
	Name          string
	Incarnation   uint64
	Address       string
	FailureDomain string
	// State is "Ready", "Warming", or the reason why the target admits no new requests.
	State    string
	InFlight int
	// Limit is the target's own current limit on the number in flight, regardless of the
	// load bound.
	Limit          int
	WarmUpProgress float64
	LastSeen       time.Time
	// Chats is the number of chats expected to be warm on the target.
	Chats int
}

// WorkspaceStatus is the state of one workspace's queue.
type WorkspaceStatus struct {
	Name     string
	Queued   int
	InFlight int
}

// Status returns the state of the service.
func (c *Controller) Status() Status {
	status := Status{
		Service:      c.config.Service.Name,
		FencingToken: c.fencingToken,
		Granting:     c.granting,
		InFlight:     c.load.InFlight,
		Chats:        c.locations.Len(),
	}
	if c.load.Targets > 0 {
		status.Mean = float64(c.load.InFlight) / float64(c.load.Targets)
	}
	for _, index := range c.byName {
		status.Targets = append(status.Targets, c.targetStatus(index))
	}
	for _, w := range c.workspaces {
		if w.idle() {
			continue
		}
		status.Workspaces = append(status.Workspaces, WorkspaceStatus{w.name, w.queued, w.inFlight})
	}
	slices.SortFunc(status.Targets, func(a, b TargetStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(status.Workspaces, func(a, b WorkspaceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return status
}

func (c *Controller) targetStatus(index int) TargetStatus {
	t := c.targets[index]
	candidate := &c.candidates[index]
	state := candidate.Availability.String()
	switch {
	case candidate.Availability != route.Available:
	case candidate.Warming:
		state = "Warming"
	default:
		state = "Ready"
	}
	return TargetStatus{
		Name:           t.name,
		Incarnation:    t.membershipStamp.Incarnation,
		Address:        t.announcement.Address,
		FailureDomain:  t.announcement.FailureDomain,
		State:          state,
		InFlight:       int(candidate.InFlight),
		Limit:          int(candidate.Limit),
		WarmUpProgress: t.warmUp.progress(c.config.Service.WarmUp),
		LastSeen:       t.lastSeen,
		Chats:          c.locations.CountAt(t.instance),
	}
}
