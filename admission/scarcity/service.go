package scarcity

import (
	"math"
	"time"
)

const (
	// planInterval is how long a plan is used until the next digest or this time.
	planInterval = 100 * time.Millisecond
	// maxCredit is the time for which allowance that was not used can be used later, by
	// requests that wait. It is the longest wait of a request with an objective of 2 s.
	maxCredit = 250 * time.Millisecond
	// maxDebt is the number of requests that a host may be ahead of its allowance without
	// effect on those that wait afterwards.
	maxDebt = 2
	// lateFactor is the part of the share of a class that requests have whose objective has
	// passed, beside others that can still meet theirs.
	lateFactor = 0.5
	// minTimePart is the part of the expected time of a request that must remain until its
	// deadline. The expected time is a mean.
	minTimePart = 0.5
)

// Service decides for the requests of one host to one service.
type Service struct {
	room    Room
	demands *demandTable
	plan    Plan
	// buffer holds the demands from which the plan is made.
	buffer    []Demand
	plannedAt time.Time
	// allowance is the number of requests a second that this host may send, and credit the
	// number that it may send now to requests that wait.
	allowance  float64
	credit     float64
	creditedAt time.Time
	queue      waitQueue
}

// NewService returns a Service. weigh returns the weight of a workspace in fair sharing; nil
// for the same weight for all.
func NewService(kind Kind, weigh func(workspace string) float64) *Service {
	return &Service{room: newRoom(kind), demands: newDemandTable(weigh)}
}

// Observe records a digest of the loads. Requests that wait may have a place now, see
// Dequeue.
func (s *Service) Observe(now time.Time, load Load) {
	s.room.observe(now, load, s.demands.perSecond(now)*float64(max(load.Hosts, 1)))
	s.makePlan(now)
}

// RecordDuration records how long a request that was served was in flight.
func (s *Service) RecordDuration(duration time.Duration) {
	if duration > 0 {
		s.room.recordDuration(duration)
	}
}

// RecordRejection records that a full target has rejected a request.
func (s *Service) RecordRejection(now time.Time) { s.room.recordRejection(now) }

// IsScarce reports whether not everything can be served.
func (s *Service) IsScarce() bool { return s.plan.IsScarce }

// Fraction returns the part of all requests that is served.
func (s *Service) Fraction() float64 {
	if !s.plan.IsScarce {
		return 1
	}
	return s.plan.fraction
}

// RetryShare returns the part of the retry budget that is left.
func (s *Service) RetryShare() float64 {
	if !s.plan.IsScarce {
		return 1
	}
	return retryShare(s.plan.fraction)
}

// SentPerSecond returns the number of requests a second that all hosts send; 0 while many
// places are free.
func (s *Service) SentPerSecond(now time.Time) float64 {
	if s.room.hasFreePlaces(now) {
		return 0
	}
	return s.room.fraction * s.room.demand
}

// Load returns the load that was last observed.
func (s *Service) Load() Load { return s.room.load }

// Waiting returns the number of requests that wait.
func (s *Service) Waiting() int { return len(s.queue.waiters) }

// makePlan makes the plan for the present demand.
func (s *Service) makePlan(now time.Time) {
	s.addCredit(now)
	if s.room.isOld(now) {
		s.room.recover(min(now.Sub(s.plannedAt), maxLoadAge))
	}
	s.plannedAt = now
	if s.room.hasFreePlaces(now) {
		s.plan, s.allowance = Plan{}, 0
		return
	}
	demand := s.demands.perSecond(now)
	s.allowance = s.room.fraction * demand
	if s.room.fraction >= 1 {
		s.plan = Plan{}
		return
	}
	s.buffer = s.demands.appendDemands(s.buffer[:0], now)
	s.plan = NewPlan(s.buffer, s.allowance)
}

// addCredit adds the allowance of the time since the last call.
func (s *Service) addCredit(now time.Time) {
	if elapsed := now.Sub(s.creditedAt); elapsed > 0 {
		limit := 1.0
		if len(s.queue.waiters) == 0 {
			limit = min(s.allowance*maxCredit.Seconds(), 1)
		}
		s.credit = min(s.credit+s.allowance*elapsed.Seconds(), limit)
		s.creditedAt = now
	}
}

// Decide decides whether a request is served now, waits or is refused.
func (s *Service) Decide(now time.Time, r *Request) Decision {
	demand := s.demands.add(now, r.Class, r.Once)
	decision := s.decide(now, r, demand)
	if decision.Verdict != Refused {
		s.room.sent++
	}
	return decision
}

// decide decides on a request that has been counted.
func (s *Service) decide(now time.Time, r *Request, demand *Demand) Decision {
	if !s.plan.IsScarce && s.room.hasFreePlaces(now) {
		return Decision{Verdict: Admitted, Share: 1}
	}
	if now.Sub(s.plannedAt) >= planInterval {
		s.makePlan(now)
	}
	if !s.plan.IsScarce {
		return Decision{Verdict: Admitted, Share: 1}
	}
	share := s.plan.ShareOf(demand, r.Once)
	if r.isLate(now) {
		share *= lateFactor
	}
	if float64(r.Deadline.Sub(now)) < minTimePart*float64(s.room.delay()) {
		return s.refuse(now, r, ReasonDeadline, share)
	}
	draw := Draw(now, r.ContentKey, r.Random)
	if draw >= share {
		return s.refuse(now, r, s.plan.reason(demand), share)
	}
	s.addCredit(now)
	if s.credit < 1 {
		if decision, ok := s.tryQueue(now, r, draw, share, demand.Weight); ok {
			return decision
		}
	}
	s.credit = max(s.credit-1, -maxDebt)
	return Decision{Verdict: Admitted, Share: share}
}

// refuse returns the decision for a request that is refused.
func (s *Service) refuse(now time.Time, r *Request, reason Reason, share float64) Decision {
	return Decision{Verdict: Refused, Reason: reason, Share: share, RetryAfter: s.retryAfter(now, r, share)}
}

// retryAfter returns when there is likely room for the request.
func (s *Service) retryAfter(now time.Time, r *Request, share float64) time.Duration {
	return retryAfter(s.room.backlog(), share, r.Deadline.Sub(now), r.Random)
}

// RetryAfter returns when there is likely room for a request of any class that has the given
// time left.
func (s *Service) RetryAfter(remaining time.Duration, random uint64) time.Duration {
	return retryAfter(s.room.backlog(), s.Fraction(), remaining, random)
}

// tryQueue queues a request that is to be served if this host has sent as many as it may,
// and may send another one within a part of the objective of the request. Bursts then don't
// fill the queues of the targets, where nothing is in order. A host that may send few
// requests a second sends them as they arrive.
func (s *Service) tryQueue(now time.Time, r *Request, draw, share, weight float64) (Decision, bool) {
	limit := min(time.Duration(waitPart*float64(r.Objective)), r.Deadline.Sub(now)-s.room.delay())
	if !r.MayWait || limit <= 0 || s.timeToCredit(1+s.queue.ahead(r.Priority)) > limit {
		return Decision{}, false
	}
	w := &Waiter{Request: *r, ExpiresAt: now.Add(limit), Share: share, draw: draw}
	evicted, ok := s.queue.push(w, weight)
	if !ok {
		return Decision{}, false
	}
	return Decision{Verdict: Queued, Share: share, Waiter: w, Evicted: evicted}, true
}

// timeToCredit returns the time until this host has the credit for n requests.
func (s *Service) timeToCredit(n int) time.Duration {
	missing := float64(n) - s.credit
	if missing <= 0 {
		return 0
	}
	if s.allowance <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(missing/s.allowance, maxRetryAfter.Seconds()) * float64(time.Second))
}

// Dequeue removes the next request that has a place now; nil if there is none. It is called
// after a digest, when a request has ended, and at TurnAt.
func (s *Service) Dequeue(now time.Time) *Waiter {
	if len(s.queue.waiters) == 0 {
		return nil
	}
	s.addCredit(now)
	if s.plan.IsScarce {
		const tolerance = 1e-6
		if s.credit < 1-tolerance {
			return nil
		}
		s.credit--
	}
	return s.queue.pop()
}

// TurnAt returns when a request that waits is to get a place. Each of them looks at the
// queue when its own turn is expected, so that they don't wake together.
func (s *Service) TurnAt(now time.Time, w *Waiter) time.Time {
	s.addCredit(now)
	return now.Add(s.timeToCredit(1 + s.queue.before(w)))
}

// Cancel removes a request that no longer waits. It returns false if it has a place
// already.
func (s *Service) Cancel(w *Waiter) bool { return s.queue.remove(w) }

// Expire removes a request whose time in the queue is over. It is served if its class still
// has the room that it was queued for: it was to get a place, and the others that came before
// its turn were within the plan, too. ok is false if it has a place already.
func (s *Service) Expire(now time.Time, w *Waiter) (decision Decision, ok bool) {
	if !s.queue.remove(w) {
		return Decision{}, false
	}
	share := s.plan.ShareOf(&s.demands.classFor(now, w.Class).demand, w.Once)
	if w.draw >= share {
		return s.refuse(now, &w.Request, ReasonQueue, share), true
	}
	s.addCredit(now)
	s.credit = max(s.credit-1, -maxDebt)
	return Decision{Verdict: Admitted, Share: share}, true
}

// RefuseWaiter returns the decision for a request that was removed from the queue without
// a place.
func (s *Service) RefuseWaiter(now time.Time, w *Waiter, reason Reason) Decision {
	return s.refuse(now, &w.Request, reason, w.Share)
}
