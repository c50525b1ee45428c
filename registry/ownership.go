package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"comfreytiller.dev/common/rendezvous"
	"comfreytiller.dev/fleet"
)

// assignOwners gives each service of the fleet an owner and a backup. An owner
// stays as long as its session is open or closing.
func (s *state) assignOwners(number uint64) {
	if s.fleet == nil {
		return
	}
	for name := range s.owners {
		if _, known := s.fleet.Service(name); !known {
			delete(s.owners, name)
			s.changed.owners = true
		}
	}
	maps.DeleteFunc(s.moves, func(service string, _ move) bool {
		_, known := s.fleet.Service(service)
		return !known
	})
	for _, service := range serviceNames(s.fleet) {
		owner, owned := s.owners[service]
		if _, live := s.sessions[owner.Session]; owned && live {
			continue
		}
		if !s.grant(service, number, 0) && owned {
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

// grant gives the service to the best host but the excluded session. It
// reports false when there is none.
func (s *state) grant(service string, number, excluded uint64) bool {
	chosen, found := s.selector().owner(service, excluded)
	if !found {
		return false
	}
	s.owners[service] = Owner{Host: chosen.Name, Session: chosen.Session, Fence: number}
	s.changed.owners = true
	return true
}

// move is the last time that an owner gave up a service.
type move struct {
	session   uint64
	fence     uint64
	nextFence uint64
}

// moveOwner passes a service on when its owner has given it up.
func (s *state) moveOwner(number uint64, command MoveOwner) Result {
	last := s.moves[command.Service]
	if last.nextFence != 0 && last.session == command.Session && last.fence == command.Fence {
		return Result{Code: CodeOK, Version: last.nextFence}
	}
	owner, owned := s.owners[command.Service]
	if !owned || owner.Session != command.Session || owner.Fence != command.Fence {
		return refuse(CodeNotOwner, fmt.Sprintf("service %s, session %d, fence %d", command.Service, command.Session, command.Fence))
	}
	if !s.grant(command.Service, number, command.Session) {
		return refuse(CodeNoCandidate, "service "+command.Service)
	}
	s.moves[command.Service] = move{session: command.Session, fence: command.Fence, nextFence: number}
	for _, service := range serviceNames(s.fleet) {
		s.assignBackup(service)
	}
	return Result{Code: CodeOK, Version: number}
}

// assignBackup keeps the backup while no other host is in a better failure
// domain for it.
func (s *state) assignBackup(service string) {
	owner, owned := s.owners[service]
	if !owned {
		return
	}
	var next Owner
	domain := s.sessions[owner.Session].FailureDomain
	if chosen, found := s.selector().backup(service, owner, domain); found {
		next = Owner{Backup: chosen.Name, BackupSession: chosen.Session}
	}
	if owner.Backup == next.Backup && owner.BackupSession == next.BackupSession {
		return
	}
	owner.Backup, owner.BackupSession = next.Backup, next.BackupSession
	s.owners[service] = owner
	s.changed.owners = true
}

func (s *state) selector() selector {
	hosts := make([]Host, 0, len(s.sessions))
	for _, session := range s.sessions {
		if session.CanOwn && !session.Closing {
			hosts = append(hosts, session)
		}
	}
	return newSelector(hosts, s.owners, s.domainsOut)
}

// selector chooses owners and backups among the hosts that may own services.
type selector struct {
	hosts      []Host
	owners     map[string]Owner
	domainsOut map[string]bool
	// owned and backed count the services of each session.
	owned  map[uint64]int
	backed map[uint64]int
}

func newSelector(hosts []Host, owners map[string]Owner, domainsOut map[string]bool) selector {
	chooser := selector{
		hosts:      hosts,
		owners:     owners,
		domainsOut: domainsOut,
		owned:      map[uint64]int{},
		backed:     map[uint64]int{},
	}
	for _, owner := range owners {
		chooser.owned[owner.Session]++
		chooser.backed[owner.BackupSession]++
	}
	return chooser
}

// rank orders hosts for one role; the lowest goes first.
type rank struct {
	// out: operators have taken out the host's failure domain.
	out bool
	// avoided: the host owns a service already, or shares the owner's failure
	// domain.
	avoided bool
	// notBackup: the host does not hold the copy of the chats' memory.
	notBackup bool
	load      int
	score     uint64
	name      string
}

func (r rank) compare(other rank) int {
	return cmp.Or(
		compareBools(r.out, other.out),
		compareBools(r.avoided, other.avoided),
		compareBools(r.notBackup, other.notBackup),
		cmp.Compare(r.load, other.load),
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

// owner chooses a host in a failure domain that is not out, that owns nothing
// yet, that holds the copy of the chats' memory, in this order.
func (c selector) owner(service string, excluded uint64) (Host, bool) {
	previous := c.owners[service]
	return c.best(func(host Host) (rank, bool) {
		owned := c.owned[host.Session]
		return rank{
			out:       c.domainsOut[host.FailureDomain],
			avoided:   owned > 0,
			notBackup: host.Session != previous.BackupSession,
			load:      owned,
			score:     rendezvous.Score(service, host.Name),
			name:      host.Name,
		}, host.Session != excluded
	})
}

// backup chooses a host of another failure domain than the owner's.
func (c selector) backup(service string, owner Owner, ownerDomain string) (Host, bool) {
	return c.best(func(host Host) (rank, bool) {
		return rank{
			out:       c.domainsOut[host.FailureDomain],
			avoided:   host.FailureDomain == ownerDomain,
			notBackup: host.Session != owner.BackupSession,
			load:      c.owned[host.Session] + c.backed[host.Session],
			score:     rendezvous.Score(service, host.Name),
			name:      host.Name,
		}, host.Name != owner.Host
	})
}

func (c selector) best(rankOf func(host Host) (rank, bool)) (best Host, found bool) {
	var bestRank rank
	for _, host := range c.hosts {
		hostRank, eligible := rankOf(host)
		if eligible && (!found || hostRank.compare(bestRank) < 0) {
			best, bestRank, found = host, hostRank, true
		}
	}
	return best, found
}
