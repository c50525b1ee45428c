package host

import (
	"sync"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target"
)

const (
	// maxChatsPerService and maxChatAge limit the chat locations kept for a
	// service.
	maxChatsPerService = 1_500_000
	maxChatAge         = 24 * time.Hour
)

// serviceOwner grants permits for one service that this host owns.
type serviceOwner struct {
	parent     *ownedServices
	name       string
	owner      registry.Owner
	controller *admission.Controller

	mu sync.Mutex
	// pendingReplies holds the replies to outstanding requests, by request ID.
	pendingReplies map[string]peer.Reply
	// unreportedSessions are the sessions that have not reported their permits.
	unreportedSessions map[uint64]bool
	adopted            bool
	// announced holds the latest announcements, by target.
	announced map[string]target.Announcement
	// stopped is set when the service is handed over; no permits are granted.
	stopped bool
	// lastAvailable is when a target last accepted work.
	lastAvailable time.Time
	// backupSession is the backup host's session that has received the complete
	// state.
	backupSession uint64
	// suspended is set while the lease is not live.
	suspended bool
}

func newServiceOwner(o *ownedServices, name string, owner registry.Owner, config admission.Config, sessions map[uint64]bool) *serviceOwner {
	s := &serviceOwner{
		parent: o,
		name:   name,
		owner:  owner,
		controller: admission.New(config, owner.Fence,
			admission.WithScope(o.scope(name)), admission.WithChatLimits(maxChatsPerService, maxChatAge)),
		pendingReplies:     map[string]peer.Reply{},
		unreportedSessions: sessions,
		announced:          map[string]target.Announcement{},
		lastAvailable:      o.clock.Now(),
	}
	return s
}

// update applies a change to the service and sends the resulting replies.
func (s *serviceOwner) update(change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.parent.clock.Now())
	s.sendEffects()
}

// acquire requests a permit. The reply is a Permit or a Refusal.
func (s *serviceOwner) acquire(request admission.Request, reply peer.Reply) {
	s.update(func(now time.Time) {
		if s.stopped || s.suspended {
			reply(notOwnerRefusal(request.ID))
			return
		}
		s.pendingReplies[request.ID] = reply
		s.controller.Acquire(now, request)
	})
}

// release releases a permit. If the request was never sent to a target, it may
// still be queued, because its host gave up before the reply.
func (s *serviceOwner) release(release admission.Release) {
	s.update(func(now time.Time) {
		if release.Outcome == admission.OutcomeUnsent {
			s.controller.Cancel(now, release.RequestID)
		}
		s.controller.Release(now, release)
	})
}

// adopt registers the permits that a host holds from an earlier owner.
func (s *serviceOwner) adopt(session uint64, permits []admission.Permit) {
	s.update(func(now time.Time) {
		for _, permit := range permits {
			s.controller.AdoptPermit(now, permit)
		}
		delete(s.unreportedSessions, session)
		s.completeAdoption(now)
	})
}

// completeAdoption starts granting permits once every live session has reported
// its permits. s.mu must be held.
func (s *serviceOwner) completeAdoption(now time.Time) {
	if s.adopted || len(s.unreportedSessions) > 0 {
		return
	}
	s.adopted = true
	s.controller.CompleteAdoption(now)
	s.parent.log.Infof("Granting permits for service %s with fencing token %d.", s.name, s.owner.Fence)
}

// handleTargetReport applies a message from a target. It returns false if the
// target has to announce itself again.
func (s *serviceOwner) handleTargetReport(m peer.TargetUpdate) (known bool) {
	known = true
	s.update(func(now time.Time) {
		switch {
		case m.Announcement != nil:
			if s.controller.HandleAnnouncement(now, *m.Announcement) {
				s.announced[m.Announcement.Name] = *m.Announcement
			}
		case m.Load != nil:
			known = s.controller.HandleLoadReport(now, *m.Load)
		case m.Cache != nil:
			known = s.controller.HandleCacheEvent(now, *m.Cache)
		case m.Leave != nil:
			s.controller.HandleLeave(now, *m.Leave)
		}
	})
	return known
}

// importState imports state exported by an earlier owner.
func (s *serviceOwner) importState(now time.Time, exported admission.ExportedState) {
	s.controller.Import(now, exported)
	for _, t := range exported.Targets {
		known, ok := s.announced[t.Announcement.Name]
		if !ok || t.Announcement.After(known.Stamp) {
			s.announced[t.Announcement.Name] = t.Announcement
		}
	}
}

// sessionClosed releases the permits of a closed session.
func (s *serviceOwner) sessionClosed(host string, session uint64) {
	s.update(func(now time.Time) {
		s.controller.ReleaseHost(now, permitHolder(host, session))
		delete(s.unreportedSessions, session)
		s.completeAdoption(now)
	})
}

// configure applies a new configuration or new outages.
func (s *serviceOwner) configure(config admission.Config) {
	s.update(func(now time.Time) { s.controller.Configure(now, config) })
}

func (s *serviceOwner) tick() {
	s.update(func(now time.Time) {
		s.completeAdoption(now)
		s.resumeOnLease(now)
		s.controller.Tick(now)
	})
}

// stopGranting ends granting and refuses the queued requests, so that they are
// sent to the next owner. It returns the state for that owner.
func (s *serviceOwner) stopGranting() admission.ExportedState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.parent.clock.Now()
	s.sendEffects()
	s.stopped = true
	s.controller.Suspend(now)
	s.sendEffects()
	return s.controller.Export(now, 0)
}

// isStopped reports whether granting has been stopped for a handover. If this
// host still owns the service, the move has to be proposed again.
func (s *serviceOwner) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// resume grants permits again after a move that found no other host.
func (s *serviceOwner) resume() {
	s.update(func(now time.Time) {
		s.stopped = false
		s.controller.CompleteAdoption(now)
	})
}

// exportForBackup returns the state for the backup host, with at most limit
// chats; 0 exports all.
func (s *serviceOwner) exportForBackup(now time.Time, limit int) admission.ExportedState {
	s.mu.Lock()
	defer s.mu.Unlock()
	exported := s.controller.Export(now, limit)
	exported.Current = false
	return exported
}

// unavailableFor returns for how long no target has accepted work.
func (s *serviceOwner) unavailableFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.parent.clock.Now()
	if !s.adopted || hasAvailableTarget(s.controller.Status()) {
		s.lastAvailable = now
	}
	return now.Sub(s.lastAvailable)
}

func (s *serviceOwner) status() admission.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller.Status()
}

// sendEffects sends the effects of the service. s.mu must be held. The lease is
// checked last, immediately before a permit is sent. Without a live lease the
// owner stops granting, and queued requests are refused so that they are sent
// to the next owner.
func (s *serviceOwner) sendEffects() {
	for _, effect := range s.controller.TakeEffects() {
		if effect.Permit != nil && s.parent.authority.Check() != nil {
			s.withdrawPermit(effect.Permit.RequestID)
			continue
		}
		s.parent.log.Infof("%s", effect.Decision.String())
		s.sendReply(effect)
	}
}

// withdrawPermit withdraws a permit that must not be sent. It suspends the
// service first, so that the freed capacity is not granted again.
func (s *serviceOwner) withdrawPermit(requestID string) {
	now := s.parent.clock.Now()
	if !s.suspended {
		s.suspended = true
		s.controller.Suspend(now)
	}
	s.controller.Withdraw(now, requestID)
	if reply, ok := s.pendingReplies[requestID]; ok {
		delete(s.pendingReplies, requestID)
		reply(notOwnerRefusal(requestID))
	}
}

// resumeOnLease grants permits again once the lease is live. s.mu must be held.
func (s *serviceOwner) resumeOnLease(now time.Time) {
	if s.suspended && !s.stopped && s.parent.authority.Check() == nil {
		s.suspended = false
		s.controller.CompleteAdoption(now)
	}
}

func (s *serviceOwner) sendReply(effect admission.Effect) {
	id := effect.Decision.RequestID
	reply, ok := s.pendingReplies[id]
	if !ok {
		return
	}
	delete(s.pendingReplies, id)
	if effect.Permit != nil {
		reply(peer.Permit{Permit: *effect.Permit})
		return
	}
	reply(peer.Refusal{Refusal: *effect.Refusal})
}

func notOwnerRefusal(requestID string) peer.Message {
	return peer.Refusal{Refusal: admission.Refusal{
		RequestID: requestID,
		Code:      admission.RefusedNotOwner,
		Message:   "this host does not decide for the service now",
	}}
}
