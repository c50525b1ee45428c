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
	// digestInterval is the pause between checks for changes.
	digestInterval = time.Second
	// digestRefreshInterval is the time after which an unchanged digest is sent
	// again.
	digestRefreshInterval = 5 * time.Second
	// unassignedTimeout is the time after which a silent target without a
	// service is removed.
	unassignedTimeout = 5 * time.Second
)

// digestReporter reports the targets known to this host to the leader of the
// state replicas, as input for placement.
type digestReporter struct {
	host  *Host
	clock clockwork.Clock

	lastDigest peer.Digest
	lastLeader string
	lastSent   time.Time
}

func newDigestReporter(h *Host) *digestReporter {
	return &digestReporter{host: h, clock: h.Clock}
}

func (d *digestReporter) run(ctx context.Context) {
	ticks.Every(ctx, d.clock, digestInterval, d.send)
}

// send sends the digest if it has changed, is due for a refresh, or the leader
// has changed.
func (d *digestReporter) send(ctx context.Context) {
	leader := d.host.session.LeaderAddress()
	digest := d.buildDigest()
	now := d.clock.Now()
	if leader == d.lastLeader && now.Sub(d.lastSent) < digestRefreshInterval && reflect.DeepEqual(digest, d.lastDigest) {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, ownerTimeout)
	defer cancel()
	if _, err := d.host.node.Call(ctx, leader, digest); err != nil {
		return
	}
	d.lastDigest, d.lastLeader, d.lastSent = digest, leader, now
}

func (d *digestReporter) buildDigest() peer.Digest {
	digest := peer.Digest{Host: d.host.Settings.Host, Session: d.host.session.Number()}
	for _, service := range d.host.ownedServices.all() {
		targets, load := service.digest()
		digest.Targets = append(digest.Targets, targets...)
		digest.Services = append(digest.Services, load)
	}
	digest.Targets = append(digest.Targets, d.host.targetRelay.unassigned.list(d.clock.Now())...)
	return digest
}

// digest returns the state of the service's targets and its load.
func (s *serviceOwner) digest() ([]peer.DigestTarget, peer.DigestService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.controller.Status()
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
			Leaving:      t.State == stateLeaving,
			InFlight:     t.InFlight,
			WarmChats:    t.Chats,
		})
	}
	return targets, load
}

// Target states in an owner's status that are relevant to placement.
const (
	stateReady   = "Ready"
	stateWarming = "Warming"
	stateLeaving = "Leaving"
	stateGone    = "Gone"
	stateSuspect = "Suspect"
)

// isReady reports whether a target is healthy. A target that operators have
// taken out of service or that has a pending order is still healthy.
func isReady(t admission.TargetStatus) bool {
	switch t.State {
	case stateLeaving, stateGone, stateSuspect:
		return false
	}
	return true
}

// unassignedTargets tracks the engines without a service that announced
// themselves to this host.
type unassignedTargets struct {
	mu     sync.Mutex
	byName map[string]unassignedTarget
}

type unassignedTarget struct {
	announcement target.Announcement
	lastSeen     time.Time
}

func newUnassignedTargets() *unassignedTargets {
	return &unassignedTargets{byName: map[string]unassignedTarget{}}
}

// handleAnnouncement adds an engine without a service and removes one that has
// a service.
func (u *unassignedTargets) handleAnnouncement(a target.Announcement, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a.Service != "" {
		delete(u.byName, a.Name)
		return
	}
	if a.Kind == target.KindModel {
		u.byName[a.Name] = unassignedTarget{announcement: a, lastSeen: now}
	}
}

// handleHeartbeat reports whether the target is known. A target that is not
// known has to announce itself again.
func (u *unassignedTargets) handleHeartbeat(name string, stamp target.Stamp, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	entry, ok := u.byName[name]
	if !ok || entry.announcement.Incarnation != stamp.Incarnation {
		return false
	}
	entry.lastSeen = now
	u.byName[name] = entry
	return true
}

func (u *unassignedTargets) list(now time.Time) []peer.DigestTarget {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []peer.DigestTarget
	for name, entry := range u.byName {
		if now.Sub(entry.lastSeen) > unassignedTimeout {
			delete(u.byName, name)
			continue
		}
		list = append(list, peer.DigestTarget{Announcement: entry.announcement, Ready: true})
	}
	return list
}
