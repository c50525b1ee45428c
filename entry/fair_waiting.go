package entry

import (
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/admission/scarcity"
)

// minWakeInterval is the minimum time between two looks at the queue by a request that
// waits. A small host has a tenth of a core.
const minWakeInterval = 5 * time.Millisecond

// contextDone is the part of a context that a request that waits needs.
type contextDone interface {
	Done() <-chan struct{}
	Err() error
}

// wait waits until the request has a place, its time in the queue is over, or its caller
// leaves. No lock is held and no permit, target or retry is taken meanwhile.
func (f *fairAdmission) wait(ctx contextDone, request *admission.Request, s *fairService, w *scarcity.Waiter, granted <-chan scarcity.Reason) error {
	for {
		timer := f.clock.NewTimer(f.nextWake(s, w))
		select {
		case reason := <-granted:
			timer.Stop()
			return f.finish(request, s, w, reason)
		case <-ctx.Done():
			timer.Stop()
			f.leave(s, w)
			return ctx.Err()
		case <-timer.Chan():
			f.wake(s, w)
		}
	}
}

// nextWake returns the time until a request that waits looks at the queue again.
func (f *fairAdmission) nextWake(s *fairService, w *scarcity.Waiter) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	next := s.TurnAt(now, w)
	if w.ExpiresAt.Before(next) {
		next = w.ExpiresAt
	}
	return max(next.Sub(now), minWakeInterval)
}

// wake grants the places that are free, and ends the wait of w if its time is over.
func (f *fairAdmission) wake(s *fairService, w *scarcity.Waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.grantWaiters(now, s)
	if now.Before(w.ExpiresAt) {
		return
	}
	if decision, ok := s.Expire(now, w); ok {
		f.end(s, w, decision.Reason)
	}
}

// grantWaiters lets the requests that have a place go. The caller must hold f.mu.
func (f *fairAdmission) grantWaiters(now time.Time, s *fairService) {
	for w := s.Dequeue(now); w != nil; w = s.Dequeue(now) {
		f.end(s, w, isGranted)
	}
}

// end tells a request that was removed from the queue why. The caller must hold f.mu.
func (f *fairAdmission) end(s *fairService, w *scarcity.Waiter, reason scarcity.Reason) {
	granted, known := s.granted[w]
	if !known {
		return
	}
	delete(s.granted, w)
	f.waiting--
	f.waitingBytes -= w.Bytes
	granted <- reason
}

// leave removes a request whose caller has left.
func (f *fairAdmission) leave(s *fairService, w *scarcity.Waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Cancel(w)
	f.end(s, w, scarcity.ReasonQueue)
}

// finish returns the result of a wait that ended for the reason.
func (f *fairAdmission) finish(request *admission.Request, s *fairService, w *scarcity.Waiter, reason scarcity.Reason) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reason == isGranted {
		s.countAdmitted(w.Priority)
		return nil
	}
	decision := s.RefuseWaiter(f.clock.Now(), w, reason)
	if reason == scarcity.ReasonDrain {
		decision.RetryAfter = drainedRetryAfter
	}
	s.count(reason, scarcity.Refused, request)
	return fairRefusal(request, &decision)
}

// drain refuses the requests that wait, and lets none wait any more.
func (f *fairAdmission) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for _, s := range f.services {
		for w := range s.granted {
			s.Cancel(w)
			f.end(s, w, scarcity.ReasonDrain)
		}
	}
}
