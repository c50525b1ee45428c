package entry

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/target/roster"
)

// readyCount returns the number of targets that admit new requests.
func (t *targetSelector) readyCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ready := 0
	for _, s := range t.byName {
		if s.State == roster.Ready {
			ready++
		}
	}
	return ready
}

// hasSpareTarget reports whether a service has a ready target beside another one, or has only one
// target at all.
func (t *targetSelector) hasSpareTarget(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ready := 0
	for _, s := range t.byService[service] {
		if s.State == roster.Ready && !s.Silent {
			ready++
		}
	}
	return ready > 1 || ready == 1 && len(t.byService[service]) == 1
}

// readyAddresses returns the addresses of the ready targets that aren't silent.
func (t *targetSelector) readyAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for _, s := range t.byName {
		if s.State == roster.Ready && !s.Silent {
			addresses = append(addresses, s.Address)
		}
	}
	return addresses
}

// hasReadyTarget reports whether a ready target has the address.
func (t *targetSelector) hasReadyTarget(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byName {
		if s.State == roster.Ready && s.Address == address {
			return true
		}
	}
	return false
}

// rosterEntries returns the entries of all targets that this host has heard of.
func (t *targetSelector) rosterEntries() []roster.Entry {
	entries, _ := t.roster.ChangedSince(0)
	return entries
}

// applyRoster applies changed roster entries and the host count of a hub.
func (t *targetSelector) applyRoster(entries []roster.Entry, hosts int) {
	t.hosts.record(hosts)
	if len(entries) == 0 {
		return
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstTargetSeen.IsZero() {
		t.firstTargetSeen = now
	}
	for _, entry := range entries {
		t.roster.Merge(now, entry)
	}
	all, _ := t.roster.ChangedSince(0)
	for _, entry := range all {
		t.updateTarget(now, entry)
	}
	t.rebuildIndex()
	t.rollouts.noteVersions(now.Sub(t.firstTargetSeen) <= startupSlack, t.byService)
	t.applyRateLimits(now, entries)
}

// updateTarget applies one entry of the roster. The caller must hold t.mu.
func (t *targetSelector) updateTarget(now time.Time, entry roster.Entry) {
	s := t.byName[entry.Name]
	switch {
	case s == nil && entry.State == roster.Gone:
		return
	case s == nil || s.Incarnation != entry.Incarnation:
		added := &targetState{Entry: entry, firstSeen: now, coldSince: now}
		if t.isReturning(&entry) {
			added.firstSeen = t.firstTargetSeen
		}
		if s != nil {
			added.ownInFlight = s.ownInFlight
		}
		t.byName[entry.Name] = added
		t.logChange(entry)
		return
	}
	if s.State != entry.State || s.Silent != entry.Silent || s.Address != entry.Address {
		t.logChange(entry)
	}
	if !s.isCold(now) {
		s.coldSince = now
	}
	s.Entry = entry
}

// returnedSequence is the number of announcements of a target from which on one that this host
// learns of has been there before: the hubs had forgotten it, or could not take it.
const returnedSequence = 8

// isReturning reports whether a target that this host learns of has not just joined. After a
// loss of power, hubs learn of targets for seconds. If those that come late counted as recently
// joined, the first ones would get all shared prompts for newTargetPeriod.
func (t *targetSelector) isReturning(entry *roster.Entry) bool {
	return entry.Sequence >= returnedSequence || t.hosts.starting() > 0
}

func (t *targetSelector) logChange(entry roster.Entry) {
	t.log.WithFields(logrus.Fields{
		"Target": entry.Name, "Address": entry.Address, "FailureDomain": entry.FailureDomain, "Service": entry.Service,
		"State": entry.State, "Silent": entry.Silent, "WarmUp": entry.WarmUpRemaining, "Incarnation": entry.Incarnation,
		"HeardAge": t.clock.Since(entry.LastSeen),
	}).Infof("Target %s is %s.", entry.Name, entry.State)
}

// rebuildIndex rebuilds byService, sorted by name, and removes targets that are
// gone. The caller must hold t.mu.
func (t *targetSelector) rebuildIndex() {
	t.byService = map[string][]*targetState{}
	for name, s := range t.byName {
		if s.State == roster.Gone && s.ownInFlight == 0 {
			delete(t.byName, name)
			continue
		}
		t.byService[s.Service] = append(t.byService[s.Service], s)
	}
	for _, list := range t.byService {
		slices.SortFunc(list, func(a, b *targetState) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
	}
}
