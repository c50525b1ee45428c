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
	// ownerChats and ownerChatAge bound the memory of one service's chats.
	ownerChats   = 1_500_000
	ownerChatAge = 24 * time.Hour
)

// owned is a service that this host decides for.
type owned struct {
	owners  *owners
	name    string
	owner   registry.Owner
	service *admission.Service

	mu sync.Mutex
	// replies are the answers due, by request ID.
	replies map[string]peer.Reply
	// adopting are the sessions whose permits are not yet known.
	adopting map[uint64]bool
	adopted  bool
	// announced are the newest announcements, by target.
	announced map[string]target.Announcement
	// stopped is set when the service is given up: no more grants.
	stopped bool
	// served is when some target could last take work.
	served time.Time
	// copiedTo is the backup's session that has the whole memory.
	copiedTo uint64
	// suspended is set while the lease is not live.
	suspended bool
}

func newOwned(o *owners, name string, owner registry.Owner, config admission.Config, sessions map[uint64]bool) *owned {
	s := &owned{
		owners: o,
		name:   name,
		owner:  owner,
		service: admission.New(config, owner.Fence,
			admission.WithScope(o.scope(name)), admission.WithChats(ownerChats, ownerChatAge)),
		replies:   map[string]peer.Reply{},
		adopting:  sessions,
		announced: map[string]target.Announcement{},
		served:    o.clock.Now(),
	}
	return s
}

// do runs change on the service, then sends what came out of it.
func (s *owned) do(change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.owners.clock.Now())
	s.flush()
}

// acquire asks for a permit; reply is called with a Permit or a Refusal.
func (s *owned) acquire(request admission.Request, reply peer.Reply) {
	s.do(func(now time.Time) {
		if s.stopped || s.suspended {
			reply(notOwner(request.ID))
			return
		}
		s.replies[request.ID] = reply
		s.service.Acquire(now, request)
	})
}

// release gives a permit back. An unsent one may still be waiting, when its
// host gave up before the answer.
func (s *owned) release(release admission.Release) {
	s.do(func(now time.Time) {
		if release.Outcome == admission.OutcomeUnsent {
			s.service.Cancel(now, release.RequestID)
		}
		s.service.Release(now, release)
	})
}

// adopt counts the permits that a host holds from an earlier owner.
func (s *owned) adopt(session uint64, permits []admission.Permit) {
	s.do(func(now time.Time) {
		for _, permit := range permits {
			s.service.Adopt(now, permit)
		}
		delete(s.adopting, session)
		s.finishAdopting(now)
	})
}

// finishAdopting starts to grant once every live session has told its permits;
// the lock is held.
func (s *owned) finishAdopting(now time.Time) {
	if s.adopted || len(s.adopting) > 0 {
		return
	}
	s.adopted = true
	s.service.Adopted(now)
	s.owners.log.Infof("Decides for %s with fence %d.", s.name, s.owner.Fence)
}

// take passes on what a target sent; known is false where the target must
// announce itself again.
func (s *owned) take(m peer.TargetUpdate) (known bool) {
	known = true
	s.do(func(now time.Time) {
		switch {
		case m.Announcement != nil:
			if s.service.Announce(now, *m.Announcement) {
				s.announced[m.Announcement.Name] = *m.Announcement
			}
		case m.Load != nil:
			known = s.service.Load(now, *m.Load)
		case m.Cache != nil:
			known = s.service.Cache(now, *m.Cache)
		case m.Leave != nil:
			s.service.Leave(now, *m.Leave)
		}
	})
	return known
}

// imports takes what an earlier owner sent.
func (s *owned) imports(now time.Time, copied admission.Copy) {
	s.service.Import(now, copied)
	for _, t := range copied.Targets {
		known, ok := s.announced[t.Announcement.Name]
		if !ok || t.Announcement.After(known.Stamp) {
			s.announced[t.Announcement.Name] = t.Announcement
		}
	}
}

// sessionClosed drops what a closed session held.
func (s *owned) sessionClosed(host string, session uint64) {
	s.do(func(now time.Time) {
		s.service.ReleaseHost(now, holder(host, session))
		delete(s.adopting, session)
		s.finishAdopting(now)
	})
}

// configure takes a new fleet text or outage.
func (s *owned) configure(config admission.Config) {
	s.do(func(now time.Time) { s.service.Configure(now, config) })
}

func (s *owned) tick() {
	s.do(func(now time.Time) {
		s.finishAdopting(now)
		s.resumeWithLease(now)
		s.service.Tick(now)
	})
}

// stop ends all grants, and refuses what waits so that it is asked again at
// the next owner. It returns the memory for that owner.
func (s *owned) stop() admission.Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.owners.clock.Now()
	s.flush()
	s.stopped = true
	s.service.Suspend(now)
	s.flush()
	return s.service.Export(now, 0)
}

// isStopped reports whether the service was given up, and is to be proposed for
// a move again where it is still owned here.
func (s *owned) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// resume grants again after a move that found no other host.
func (s *owned) resume() {
	s.do(func(now time.Time) {
		s.stopped = false
		s.service.Adopted(now)
	})
}

// export returns a part of the memory for the backup host.
func (s *owned) export(now time.Time, limit int) admission.Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.service.Export(now, limit)
	copied.Current = false
	return copied
}

// idleFor returns how long no target could take work.
func (s *owned) idleFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.owners.clock.Now()
	if !s.adopted || serves(s.service.Status()) {
		s.served = now
	}
	return now.Sub(s.served)
}

func (s *owned) status() admission.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service.Status()
}

// flush sends the service's effects; the lock is held. A grant leaves only
// under a live lease, which is checked last. Without one the owner stops
// granting: what waits is asked again where there is an owner.
func (s *owned) flush() {
	for _, effect := range s.service.Effects() {
		if effect.Permit != nil && s.owners.authority.Check() != nil {
			s.withdraw(effect.Permit.RequestID)
			continue
		}
		s.owners.log.Infof("%s", effect.Decision.String())
		s.send(effect)
	}
}

// withdraw takes back a permit that may not be sent, and suspends the service
// first, so that the place that gets free is not granted again.
func (s *owned) withdraw(requestID string) {
	now := s.owners.clock.Now()
	if !s.suspended {
		s.suspended = true
		s.service.Suspend(now)
	}
	s.service.Withdraw(now, requestID)
	if reply, ok := s.replies[requestID]; ok {
		delete(s.replies, requestID)
		reply(notOwner(requestID))
	}
}

// resumeWithLease grants again once the lease is live; the lock is held.
func (s *owned) resumeWithLease(now time.Time) {
	if s.suspended && !s.stopped && s.owners.authority.Check() == nil {
		s.suspended = false
		s.service.Adopted(now)
	}
}

func (s *owned) send(effect admission.Effect) {
	id := effect.Decision.RequestID
	reply, ok := s.replies[id]
	if !ok {
		return
	}
	delete(s.replies, id)
	if effect.Permit != nil {
		reply(peer.Permit{Permit: *effect.Permit})
		return
	}
	reply(peer.Refusal{Refusal: *effect.Refusal})
}

func notOwner(requestID string) peer.Message {
	return peer.Refusal{Refusal: admission.Refusal{
		RequestID: requestID,
		Code:      admission.RefusedNotOwner,
		Message:   "this host does not decide for the service now",
	}}
}
