package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"comfreytiller.dev/common/rendezvous"
	"comfreytiller.dev/fleet"
)

// assignOwners assigns an owner and a backup to each service of the fleet. An
// owner keeps its service while its session is open or closing.
func (s *state) assignOwners(sequence uint64) {
	if s.fleet == nil {
		return
	}
	for name := range s.owners {
		if _, known := s.fleet.Service(name); !known {
			delete(s.owners, name)
			s.changed.owners = true
		}
	}
	maps.DeleteFunc(s.lastMoves, func(service string, _ ownerMove) bool {
		_, known := s.fleet.Service(service)
		return !known
	})
	for _, service := range serviceNames(s.fleet) {
		owner, owned := s.owners[service]
		if _, live := s.sessions[owner.Session]; owned && live {
			continue
		}
		if !s.grantOwnership(service, sequence, 0) && owned {
			delete(s.owners, service)
			s.changed.owners = true
		}
	}
	for _, service := range serviceNames(s.fleet) {
		s.assignBackup(service)
	}
}

func serviceNames(f *fleet.Fleet) []string {
	names := make([]string, 0, len(f.Services))
	for _, service := range f.Services {
		names = append(names, service.Name)
	}
	slices.Sort(names)
	return names
}

// grantOwnership assigns the service to the best host, ignoring the excluded
// session. It reports whether there is such a host.
func (s *state) grantOwnership(service string, sequence, excluded uint64) bool {
	chosen, found := s.selector().selectOwner(service, excluded)
	if !found {
		return false
	}
	s.owners[service] = Owner{Host: chosen.Name, Session: chosen.Session, Fence: sequence}
	s.changed.owners = true
	return true
}

// ownerMove is the last move of a service: the session and fencing token that
// released it, and the fencing token of the next grant.
type ownerMove struct {
	session   uint64
	fence     uint64
	nextFence uint64
}

// moveOwner transfers a service from the owner that releases it to another host.
func (s *state) moveOwner(sequence uint64, command MoveOwner) Result {
	last := s.lastMoves[command.Service]
	if last.nextFence != 0 && last.session == command.Session && last.fence == command.Fence {
		return Result{Code: CodeOK, Version: last.nextFence}
	}
	owner, owned := s.owners[command.Service]
	if !owned || owner.Session != command.Session || owner.Fence != command.Fence {
		return refuse(CodeNotOwner, fmt.Sprintf("service %s, session %d, fence %d", command.Service, command.Session, command.Fence))
	}
	if !s.grantOwnership(command.Service, sequence, command.Session) {
		return refuse(CodeNoCandidate, "service "+command.Service)
	}
	s.lastMoves[command.Service] = ownerMove{session: command.Session, fence: command.Fence, nextFence: sequence}
	for _, service := range serviceNames(s.fleet) {
		s.assignBackup(service)
	}
	return Result{Code: CodeOK, Version: sequence}
}

// assignBackup assigns a backup to the service. The current backup is kept
// unless another host is in a better failure domain.
func (s *state) assignBackup(service string) {
	owner, owned := s.owners[service]
	if !owned {
		return
	}
	var next Owner
	domain := s.sessions[owner.Session].FailureDomain
	if chosen, found := s.selector().selectBackup(service, owner, domain); found {
		next = Owner{Backup: chosen.Name, BackupSession: chosen.Session}
	}
	if owner.Backup == next.Backup && owner.BackupSession == next.BackupSession {
		return
	}
	owner.Backup, owner.BackupSession = next.Backup, next.BackupSession
	s.owners[service] = owner
	s.changed.owners = true
}

func (s *state) selector() ownerSelector {
	hosts := make([]Host, 0, len(s.sessions))
	for _, session := range s.sessions {
		if session.CanOwn && !session.Closing {
			hosts = append(hosts, session)
		}
	}
	return newOwnerSelector(hosts, s.owners, s.domainsOut)
}

// ownerSelector chooses owners and backups among the hosts that may own services.
type ownerSelector struct {
	hosts      []Host
	owners     map[string]Owner
	domainsOut map[string]bool
	// ownedCounts and backupCounts hold the number of services that each session
	// owns or backs up.
	ownedCounts  map[uint64]int
	backupCounts map[uint64]int
}

func newOwnerSelector(hosts []Host, owners map[string]Owner, domainsOut map[string]bool) ownerSelector {
	result := ownerSelector{
		hosts:        hosts,
		owners:       owners,
		domainsOut:   domainsOut,
		ownedCounts:  map[uint64]int{},
		backupCounts: map[uint64]int{},
	}
	for _, owner := range owners {
		result.ownedCounts[owner.Session]++
		result.backupCounts[owner.BackupSession]++
	}
	return result
}

// rank orders the candidate hosts for one role; the lowest rank is preferred.
type rank struct {
	// outOfService: operators have taken the host's failure domain out of service.
	outOfService bool
	// avoided: the host already owns a service, or, as a backup, is in the
	// owner's failure domain.
	avoided bool
	// notBackup: the host does not hold the copy of the chat state.
	notBackup    bool
	serviceCount int
	score        uint64
	name         string
}

func (r rank) compare(other rank) int {
	return cmp.Or(
		compareBools(r.outOfService, other.outOfService),
		compareBools(r.avoided, other.avoided),
		compareBools(r.notBackup, other.notBackup),
		cmp.Compare(r.serviceCount, other.serviceCount),
		cmp.Compare(other.score, r.score),
		cmp.Compare(r.name, other.name),
	)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// selectOwner prefers hosts, in this order, whose failure domain is in service,
// that own no service, and that hold the copy of the chat state.
func (c ownerSelector) selectOwner(service string, excluded uint64) (Host, bool) {
	previous := c.owners[service]
	return c.selectBest(func(host Host) (rank, bool) {
		owned := c.ownedCounts[host.Session]
		return rank{
			outOfService: c.domainsOut[host.FailureDomain],
			avoided:      owned > 0,
			notBackup:    host.Session != previous.BackupSession,
			serviceCount: owned,
			score:        rendezvous.Score(service, host.Name),
			name:         host.Name,
		}, host.Session != excluded
	})
}

// selectBackup prefers hosts whose failure domain is in service and differs from
// the owner's. The owner's host is never a backup.
func (c ownerSelector) selectBackup(service string, owner Owner, ownerDomain string) (Host, bool) {
	return c.selectBest(func(host Host) (rank, bool) {
		return rank{
			outOfService: c.domainsOut[host.FailureDomain],
			avoided:      host.FailureDomain == ownerDomain,
			notBackup:    host.Session != owner.BackupSession,
			serviceCount: c.ownedCounts[host.Session] + c.backupCounts[host.Session],
			score:        rendezvous.Score(service, host.Name),
			name:         host.Name,
		}, host.Name != owner.Host
	})
}

func (c ownerSelector) selectBest(rankOf func(host Host) (rank, bool)) (best Host, found bool) {
	var bestRank rank
	for _, host := range c.hosts {
		hostRank, eligible := rankOf(host)
		if eligible && (!found || hostRank.compare(bestRank) < 0) {
			best, bestRank, found = host, hostRank, true
		}
	}
	return best, found
}
