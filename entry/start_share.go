package entry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target/roster"
)

const (
	// startedPerSlot is the number of requests in flight for each slot of plain targets, queued
	// ones included, that all hosts together send while the fleet starts. It is what
	// route.Throttle admits once there are load reports. A model engine that holds more than
	// its slots preempts requests, so that it gets no more than these.
	startedPerSlot = 2.2
	// startFreePart is the part of this room up to which a host goes beyond its share if the
	// digests say that the targets have room: hosts don't have equal demand.
	startFreePart = 0.7
	// startRetryAfter is the minimum and half of the maximum delay after which a caller that
	// was refused in this phase may retry: several hosts are back by then.
	startRetryAfter = 400 * time.Millisecond
)

// startShare returns the number of requests that a host may have in flight to a service while
// the fleet starts: its part of the room of the targets that are known so far, at least one.
//
// Load: all machines lost power. The first of 141 hosts and the first targets are back seconds
// before the others, and get the demand of the whole fleet: the busiest target got 3.26 times
// the mean, and engines preempted what they had begun. The count of hosts, which limits are
// divided by otherwise, is not known yet.
func startShare(slots int, perSlot float64, present int) int {
	return max(int(math.Ceil(float64(slots)*perSlot/float64(max(present, 1)))), 1)
}

// refuseWhileStarting returns a refusal for a request beyond this host's share while the fleet
// starts; nil if the request is admitted. present is the number of hosts that are back so far.
// Targets that don't tell their slots are not limited. The caller must hold t.mu.
func (t *targetSelector) refuseWhileStarting(now time.Time, view *registry.View, service *fleet.Service, request *admission.Request, list []*targetState, present int) error {
	slots, inFlight := 0, 0
	for _, s := range list {
		inFlight += s.ownInFlight
		if s.State != roster.Ready || view.IsOutOfService(s.Name, s.FailureDomain) || s.isAvoided(now) {
			continue
		}
		if s.Capacity <= 0 {
			return nil
		}
		slots += s.Capacity
	}
	perSlot := 1.0
	if service.Kind == fleet.KindPlain {
		perSlot = startedPerSlot
	}
	share := startShare(slots, perSlot, present)
	if slots == 0 || inFlight < share || t.hasReportedRoom(now, service.Name, list, startFreePart*perSlot*float64(slots)) {
		return nil
	}
	return &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedQueueFull,
		Message:    fmt.Sprintf("the fleet starts: %d hosts are back, and this one has its share of %d requests in flight", present, share),
		RetryAfter: startRetryAfter + rand.N(startRetryAfter),
	}
}

// hasReportedRoom reports whether the targets have fewer requests in flight than a bound,
// according to reports on them. The caller must hold t.mu.
func (t *targetSelector) hasReportedRoom(now time.Time, service string, list []*targetState, bound float64) bool {
	loads, total, reported := t.serviceLoads(now, service, list), 0.0, false
	for _, s := range list {
		reported = reported || s.hasReportedLoad(now)
		inFlight, queued := s.estimateLoad(now, loads)
		total += inFlight + queued
	}
	return reported && total < bound
}
