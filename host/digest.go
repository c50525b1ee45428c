package host

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/target"
)

const (
	// digestInterval is the pause between looks at what has changed.
	digestInterval = time.Second
	// digestRefresh is how long an unchanged digest is not sent again.
	digestRefresh = 5 * time.Second
	// idleTimeout is how long an engine that serves nothing may be silent.
	idleTimeout = 5 * time.Second
)

// digester tells the state leader what this host knows of targets, for
// placement.
type digester struct {
	host  *Host
	clock clockwork.Clock

	sent   peer.Digest
	sentTo string
	sentAt time.Time
}

func newDigester(h *Host) *digester {
	return &digester{host: h, clock: h.Clock}
}

func (d *digester) run(ctx context.Context) {
	ticks.Every(ctx, d.clock, digestInterval, d.send)
}

// send sends the digest if it has changed, is old or has a new receiver.
func (d *digester) send(ctx context.Context) {
	leader := d.host.session.Leader()
	digest := d.gather()
	now := d.clock.Now()
	if leader == d.sentTo && now.Sub(d.sentAt) < digestRefresh && reflect.DeepEqual(digest, d.sent) {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, ownerTimeout)
	defer cancel()
	if _, err := d.host.node.Call(ctx, leader, digest); err != nil {
		return
	}
	d.sent, d.sentTo, d.sentAt = digest, leader, now
}

func (d *digester) gather() peer.Digest {
	digest := peer.Digest{Host: d.host.Settings.Host, Session: d.host.session.Number()}
	for _, service := range d.host.owners.all() {
		targets, load := service.digest()
		digest.Targets = append(digest.Targets, targets...)
		digest.Services = append(digest.Services, load)
	}
	digest.Targets = append(digest.Targets, d.host.receiver.idle.list(d.clock.Now())...)
	return digest
}

// digest returns the state of the service's targets.
func (s *owned) digest() ([]peer.DigestTarget, peer.DigestService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.service.Status()
	load := peer.DigestService{Name: s.name, InFlight: status.InFlight}
	for _, workspace := range status.Workspaces {
		load.Queued += workspace.Waiting
	}
	var targets []peer.DigestTarget
	for _, t := range status.Targets {
		announcement, ok := s.announced[t.Name]
		if !ok || announcement.Incarnation != t.Incarnation {
			continue
		}
		targets = append(targets, peer.DigestTarget{
			Announcement: announcement,
			Ready:        isReady(t),
			Cold:         t.State == stateWarming,
			Leaving:      t.State == stateLeft,
			InFlight:     t.InFlight,
			WarmChats:    t.Chats,
		})
	}
	return targets, load
}

// The states of a target in an owner's status that placement looks at.
const (
	stateReady   = "Ready"
	stateWarming = "Warming"
	stateLeft    = "Leaving"
	stateGone    = "Gone"
	stateSuspect = "Suspect"
)

// isReady reports whether a target could take work: one that operators have
// taken out, or that has an order, still counts as healthy.
func isReady(t admission.TargetStatus) bool {
	switch t.State {
	case stateLeft, stateGone, stateSuspect:
		return false
	}
	return true
}

// idleTargets are the engines that serve nothing and announced themselves here.
type idleTargets struct {
	mu    sync.Mutex
	known map[string]idleTarget
}

type idleTarget struct {
	announcement target.Announcement
	seen         time.Time
}

func newIdleTargets() *idleTargets {
	return &idleTargets{known: map[string]idleTarget{}}
}

// announce takes an announcement: one with a service ends the target's idling.
func (i *idleTargets) announce(a target.Announcement, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.Service != "" {
		delete(i.known, a.Name)
		return
	}
	if a.Kind == target.KindModel {
		i.known[a.Name] = idleTarget{announcement: a, seen: now}
	}
}

// heard takes a heartbeat; false asks the target to announce itself.
func (i *idleTargets) heard(name string, stamp target.Stamp, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	entry, ok := i.known[name]
	if !ok || entry.announcement.Incarnation != stamp.Incarnation {
		return false
	}
	entry.seen = now
	i.known[name] = entry
	return true
}

func (i *idleTargets) list(now time.Time) []peer.DigestTarget {
	i.mu.Lock()
	defer i.mu.Unlock()
	var list []peer.DigestTarget
	for name, entry := range i.known {
		if now.Sub(entry.seen) > idleTimeout {
			delete(i.known, name)
			continue
		}
		list = append(list, peer.DigestTarget{Announcement: entry.announcement, Ready: true})
	}
	return list
}
