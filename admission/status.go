package admission

import (
	"cmp"
	"slices"
	"time"

	"comfreytiller.dev/route"
)

// Status is the state of one service, for operators.
type Status struct {
	Service string
	Fence   uint64
	// Adopted is false while a new owner is still counting the permits of earlier
	// owners.
	Adopted  bool
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
	// State is "Ready", "Warming", or the reason why the target takes no new requests.
	State    string
	InFlight int
	// Limit is the current limit on the number in flight of the target itself,
	// regardless of the load bound.
	Limit          int
	WarmUpProgress float64
	LastSeen       time.Time
	// Chats is the number of chats expected to be warm on the target.
	Chats int
}

// WorkspaceStatus is the state of one workspace's queue.
type WorkspaceStatus struct {
	Name     string
	Waiting  int
	InFlight int
}

// Status returns the state of the service.
func (c *Controller) Status() Status {
	status := Status{
		Service:  c.config.Service.Name,
		Fence:    c.fence,
		Adopted:  c.adopted,
		InFlight: c.load.InFlight,
		Chats:    c.locations.Len(),
	}
	if c.load.Targets > 0 {
		status.Mean = float64(c.load.InFlight) / float64(c.load.Targets)
	}
	for _, at := range c.byName {
		status.Targets = append(status.Targets, c.targetStatus(at))
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

func (c *Controller) targetStatus(at int) TargetStatus {
	t := c.targets[at]
	candidate := &c.candidates[at]
	state := candidate.Availability.String()
	switch {
	case candidate.Availability != route.Open:
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
