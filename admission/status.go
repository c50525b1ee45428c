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
	// CompleteAdoption is false while a new owner still counts earlier permits.
	Adopted  bool
	InFlight int
	// Mean is the mean number in flight over the admitting targets.
	Mean    float64
	Chats   int
	Targets []TargetStatus
	// Workspaces lists those with requests that wait or are in flight.
	Workspaces []WorkspaceStatus
}

// TargetStatus is the state of one target.
type TargetStatus struct {
	Name          string
	Incarnation   uint64
	Address       string
	FailureDomain string
	// State is "Ready", "Warming", or the reason why it takes nothing.
	State    string
	InFlight int
	// Limit is the largest number in flight that it may have now by itself.
	Limit          int
	WarmUpProgress float64
	LastSeen       time.Time
	// Chats is the number of chats believed warm on it.
	Chats int
}

// WorkspaceStatus is the state of one workspace's queue.
type WorkspaceStatus struct {
	Name     string
	Waiting  int
	InFlight int
}

// Status returns the state of the service.
func (s *Controller) Status() Status {
	status := Status{
		Service:  s.config.Service.Name,
		Fence:    s.fence,
		Adopted:  s.adopted,
		InFlight: s.load.InFlight,
		Chats:    s.memory.Len(),
	}
	if s.load.Targets > 0 {
		status.Mean = float64(s.load.InFlight) / float64(s.load.Targets)
	}
	for _, at := range s.byName {
		status.Targets = append(status.Targets, s.targetStatus(at))
	}
	for _, w := range s.workspaces {
		if w.idle() {
			continue
		}
		status.Workspaces = append(status.Workspaces, WorkspaceStatus{w.name, w.waiting, w.inFlight})
	}
	slices.SortFunc(status.Targets, func(a, b TargetStatus) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(status.Workspaces, func(a, b WorkspaceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return status
}

func (s *Controller) targetStatus(at int) TargetStatus {
	t := s.targets[at]
	candidate := &s.candidates[at]
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
		Incarnation:    t.announced.Incarnation,
		Address:        t.announcement.Address,
		FailureDomain:  t.announcement.FailureDomain,
		State:          state,
		InFlight:       int(candidate.InFlight),
		Limit:          int(candidate.Limit),
		WarmUpProgress: t.warmUp.share(s.config.Service.WarmUp),
		LastSeen:       t.lastSeen,
		Chats:          s.memory.CountAt(t.place),
	}
}
