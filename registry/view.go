package registry

import (
	"maps"

	"comfreytiller.dev/fleet"
)

// View is the part of the replicated state that every host follows. A view is
// never changed once made.
type View struct {
	// Revision is the log index of the newest change in the view.
	Revision uint64
	// FleetVersion counts the accepted fleet texts; it only rises.
	FleetVersion uint64
	FleetConfig  []byte
	// Fleet is the parsed text; nil before the first version.
	Fleet *fleet.Fleet
	// Hosts are the open sessions, by host name.
	Hosts map[string]Host
	// Closing are the sessions of processes that a newer process of the same
	// host has superseded, by number. Their leases may still be live.
	Closing map[uint64]Host
	// Owners are the owners of the services, by service name.
	Owners map[string]Owner
	// OutageVersion counts the changes of outages and pins; it only rises.
	OutageVersion uint64
	// DomainsOut and TargetsOut are what operators have taken out.
	DomainsOut map[string]bool
	TargetsOut map[string]bool
	// Pins bind targets to services, by target name.
	Pins map[string]string
	// PendingOrders are the targets with an order that has not ended: they get no new
	// work, since the order may take them out of service.
	PendingOrders map[string]bool
}

// Host is one session.
type Host struct {
	Name          string
	Session       uint64
	FailureDomain string
	// PeerAddress and CallerAddress are the host's IP:port for its peers and
	// for callers.
	PeerAddress   string
	CallerAddress string
	// CanOwn is set when the host may own services.
	CanOwn bool
	// ProcessNonce is the random number of the host's process.
	ProcessNonce uint64
	// Closing is set when a newer process of the host has opened a session.
	Closing bool
}

// Owner is the host that admits the requests of a service.
type Owner struct {
	Host    string
	Session uint64
	// Backup is the host that keeps a copy of the chats' memory; empty for
	// none. BackupSession is its session.
	Backup        string
	BackupSession uint64
	// Fence is the log index of the grant; it rises with each owner.
	Fence uint64
}

// emptyView is the view before the first change.
func emptyView() *View {
	return &View{
		Hosts:         map[string]Host{},
		Closing:       map[uint64]Host{},
		Owners:        map[string]Owner{},
		DomainsOut:    map[string]bool{},
		TargetsOut:    map[string]bool{},
		Pins:          map[string]string{},
		PendingOrders: map[string]bool{},
	}
}

// IsOutOfService reports whether operators have taken out the target or its failure
// domain.
func (v *View) IsOutOfService(target, failureDomain string) bool {
	return v.TargetsOut[target] || v.DomainsOut[failureDomain]
}

// ShouldMoveOwner reports whether the owner of the service should give it up with
// MoveOwner: its failure domain is out and another host could own the service
// in one that is not.
func (v *View) ShouldMoveOwner(service string) bool {
	owner, owned := v.Owners[service]
	host, open := v.Hosts[owner.Host]
	if !owned || !open || host.Session != owner.Session || !v.DomainsOut[host.FailureDomain] {
		return false
	}
	chosen, found := v.selector().owner(service, owner.Session)
	return found && !v.DomainsOut[chosen.FailureDomain]
}

func (v *View) selector() selector {
	hosts := make([]Host, 0, len(v.Hosts))
	for _, host := range v.Hosts {
		if host.CanOwn {
			hosts = append(hosts, host)
		}
	}
	return newSelector(hosts, v.Owners, v.DomainsOut)
}

// next makes the view after a command. It shares with the last view what the
// command has not changed.
func (s *state) next(last *View) *View {
	view := *last
	view.Revision = s.revision
	if s.changed.fleet {
		view.FleetVersion, view.FleetConfig, view.Fleet = s.fleetVersion, s.fleetText, s.fleet
	}
	if s.changed.hosts {
		view.Hosts, view.Closing = splitSessions(s.sessions)
	}
	if s.changed.owners {
		view.Owners = maps.Clone(s.owners)
	}
	if s.changed.outages {
		view.OutageVersion = s.outageVersion
		view.DomainsOut = maps.Clone(s.domainsOut)
		view.TargetsOut = maps.Clone(s.targetsOut)
		view.Pins = maps.Clone(s.pins)
	}
	if s.changed.orders {
		view.PendingOrders = maps.Clone(s.pending)
	}
	return &view
}

func pendingTargets(orders map[string]Order) map[string]bool {
	pending := map[string]bool{}
	for target, order := range orders {
		if order.State == OrderPending {
			pending[target] = true
		}
	}
	return pending
}

func splitSessions(sessions map[uint64]Host) (open map[string]Host, closing map[uint64]Host) {
	open, closing = map[string]Host{}, map[uint64]Host{}
	for number, session := range sessions {
		if session.Closing {
			closing[number] = session
		} else {
			open[session.Name] = session
		}
	}
	return open, closing
}
