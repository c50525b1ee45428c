package entry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/admission/scarcity"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target/roster"
)

const (
	// maxWaitingOnHost and maxWaitingBytesOnHost limit the requests of all services that
	// wait on this host, and their bodies.
	maxWaitingOnHost      = 256
	maxWaitingBytesOnHost = 8 << 20
	// drainedRetryAfter is the pause for callers whose requests waited on a host that stops.
	// Other hosts can take them at once.
	drainedRetryAfter = 50 * time.Millisecond
)

// fairAdmission decides which requests of this host are served while a service has less
// capacity than demand, and holds those that wait for a place. Its lock is taken after that
// of targetSelector.
type fairAdmission struct {
	log   *logrus.Logger
	clock clockwork.Clock
	scope tally.Scope
	view  *stateView

	mu       sync.Mutex
	services map[string]*fairService
	// waiting and waitingBytes count the requests that wait.
	waiting      int
	waitingBytes int
	draining     bool

	// places and placesAt are buffers of targetSelector.spread, under its lock.
	places   []scarcity.Place
	placesAt []int
}

// fairService is the state of a service.
type fairService struct {
	*scarcity.Service
	name string
	// granted holds the channels of the requests that wait. Each receives one reason: that of
	// a refusal, or isGranted.
	granted map[*scarcity.Waiter]chan scarcity.Reason
	fairStatistics
}

// isGranted is sent to a request that has a place.
const isGranted scarcity.Reason = ""

func newFairAdmission(e *Entry) *fairAdmission {
	return &fairAdmission{
		log: logs.ForComponent(e.Log, "Admission"), clock: e.Clock, scope: e.Scope.SubScope("fair_admission"), view: e.view,
		services: map[string]*fairService{},
	}
}

// weigh returns the weight of a workspace in fair sharing.
func (f *fairAdmission) weigh(workspace string) float64 {
	if table := f.view.Table(); table != nil {
		if found, ok := table.Fleet().Workspace(workspace); ok && found.Share > 0 {
			return float64(found.Share) / fleet.DefaultShare
		}
	}
	return 1
}

// observe records a digest of the loads of a service, and lets requests that wait use the
// places that it shows.
func (f *fairAdmission) observe(now time.Time, service *fleet.Service, load scarcity.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service.Name]
	if s == nil {
		kind := scarcity.PlainService
		if service.Kind == fleet.KindModel {
			kind = scarcity.ModelService
		}
		s = &fairService{
			Service: scarcity.NewService(kind, f.weigh), name: service.Name, granted: map[*scarcity.Waiter]chan scarcity.Reason{},
			fairStatistics: newFairStatistics(f.scope, service.Name),
		}
		f.services[service.Name] = s
	}
	s.Observe(now, load)
	f.grantWaiters(now, s)
	s.logChange(f.log, now, s.name, s.Service)
}

// await returns how long the request has waited once it may be sent, and a refusal if it may
// not. A request that another target has failed has had its place and doesn't wait for one
// again.
func (f *fairAdmission) await(ctx contextDone, request *admission.Request) (time.Duration, error) {
	if len(request.Exclude) > 0 {
		return 0, nil
	}
	now := f.clock.Now()
	f.mu.Lock()
	s := f.services[request.Service]
	if s == nil {
		f.mu.Unlock()
		return 0, nil
	}
	r := scarcity.Request{
		Class: scarcity.Class{Workspace: request.Workspace, Priority: request.Priority}, Once: !request.Idempotent, ContentKey: request.ContentKey,
		Started: request.Started, Deadline: request.Deadline, Objective: request.Objective, Bytes: request.BodyBytes, Random: rand.Uint64(),
		MayWait: !f.draining && f.waiting < maxWaitingOnHost && f.waitingBytes+request.BodyBytes <= maxWaitingBytesOnHost,
	}
	decision := s.Decide(now, &r)
	if evicted := decision.Evicted; evicted != nil {
		f.end(s, evicted, scarcity.ReasonQueue)
	}
	if decision.Verdict == scarcity.Admitted {
		s.countAdmitted(r.Priority)
		f.mu.Unlock()
		return 0, nil
	}
	s.count(decision.Reason, decision.Verdict, request)
	if decision.Verdict == scarcity.Refused {
		f.mu.Unlock()
		return 0, fairRefusal(request, &decision)
	}
	granted := make(chan scarcity.Reason, 1)
	s.granted[decision.Waiter] = granted
	f.waiting++
	f.waitingBytes += request.BodyBytes
	f.grantWaiters(now, s)
	f.mu.Unlock()
	err := f.wait(ctx, request, s, decision.Waiter, granted)
	return f.clock.Since(now), err
}

// fairRefusal returns the refusal of a request.
func fairRefusal(request *admission.Request, decision *scarcity.Decision) error {
	return &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedQueueFull, RetryAfter: decision.RetryAfter,
		Message: fmt.Sprintf("the service has room for a share of %.2f of such requests (%s)", decision.Share, decision.Reason),
	}
}

// recordRelease records the end of a request, and lets requests that wait use its place.
func (f *fairAdmission) recordRelease(now time.Time, release *admission.Release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[release.Service]
	if s == nil {
		return
	}
	switch release.Outcome {
	case admission.OutcomeDone:
		s.RecordDuration(release.Duration)
	case admission.OutcomeRefused:
		s.RecordRejection(now)
	}
	f.grantWaiters(now, s)
}

// retryShare returns the part of the retry budget that the room of a service leaves.
func (f *fairAdmission) retryShare(service string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[service]; s != nil {
		return s.RetryShare()
	}
	return 1
}

// fairLoad returns the load of a service by the last digest. The estimate by which targets
// are chosen replaces a part of the digest by an average of some seconds, which would delay
// each correction by as much. Slowdowns of targets don't count: the room is measured. The caller
// must hold t.mu.
func (t *targetSelector) fairLoad(now time.Time, view *registry.View, list []*targetState) scarcity.Load {
	load := scarcity.Load{Hosts: t.hosts.count()}
	for _, s := range list {
		if s.State != roster.Ready || view.IsOutOfService(s.Name, s.FailureDomain) || s.isAvoided(now) || t.rollouts.isUnused(view, s) {
			continue
		}
		load.InFlight += s.othersInFlight + float64(s.ownInFlight)
		load.Queued += s.estimateQueued(now)
		load.Slots += s.usableSlots(t.durations[s.Service])
	}
	return load
}
