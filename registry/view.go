package registry

import (
	"maps"

	"comfreytiller.dev/fleet"
)

// View is the part of the replicated state that is sent to every host. A view
// is immutable.
type View struct {
	// Revision is the sequence number of the latest change in the view.
	Revision uint64
	// FleetVersion is the version of the fleet configuration; it only increases.
	// It is 0 before the first configuration.
	FleetVersion uint64
	FleetConfig  []byte
	// Fleet is the parsed FleetConfig; nil before the first version.
	Fleet *fleet.Fleet
	// Hosts holds the open sessions by host name.
	Hosts map[string]Host
	// Closing holds, by session number, the sessions that a newer process of the
	// same host has superseded. Their leases may still be valid.
	Closing map[uint64]Host
	// Owners holds the owners of the services by service name.
	Owners map[string]Owner
	// OutageVersion is incremented with each change of outages or pins.
	OutageVersion uint64
	// DomainsOut and TargetsOut are the failure domains and targets that
	// operators have taken out of service.
	DomainsOut map[string]bool
	TargetsOut map[string]bool
	// Pins maps target names to the services that they are pinned to.
	Pins map[string]string
	// PendingOrders holds the targets with a pending order. They get no new
	// requests, since the order may take them out of service.
	PendingOrders map[string]bool
	// Rollouts holds the last rollout of each service that ever had one, by service name.
	Rollouts map[string]Rollout
}

// Host describes one session of a host.
type Host struct {
	Name          string
	Session       uint64
	FailureDomain string
	// PeerAddress and CallerAddress are the IP:port on which the host accepts
	// connections from peers and from callers.
	PeerAddress   string
	CallerAddress string
	// CanOwn is set when the host may own services.
	CanOwn bool
	// ProcessNonce is the random number that identifies the host's process.
	ProcessNonce uint64
	// Closing is set when a newer process of the host has opened a session.
	Closing bool
}

// Owner identifies the host that grants the permits of a service.
type Owner struct {
	Host    string
	Session uint64
	// Backup is the host to which the owner replicates the service state; empty
	// for none. BackupSession is its session.
	Backup        string
	BackupSession uint64
	// FencingToken is the sequence number of the log entry that assigned the
	// owner. It increases with each owner.
	FencingToken uint64
}

// emptyView returns the view before the first change.
func emptyView() *View {
	return &View{
		Hosts:         map[string]Host{},
		Closing:       map[uint64]Host{},
		Owners:        map[string]Owner{},
		DomainsOut:    map[string]bool{},
		TargetsOut:    map[string]bool{},
		Pins:          map[string]string{},
		PendingOrders: map[string]bool{},
		Rollouts:      map[string]Rollout{},
	}
}

// IsOutOfService reports whether operators have taken the target or its failure
// domain out of service.
func (v *View) IsOutOfService(target, failureDomain string) bool {
	return v.TargetsOut[target] || v.DomainsOut[failureDomain]
}

// ShouldMoveOwner reports whether the owner of the service should release it
// with MoveOwner: its failure domain is out of service and a host in a failure
// domain in service can own the service.
func (v *View) ShouldMoveOwner(service string) bool {
	owner, owned := v.Owners[service]
	host, open := v.Hosts[owner.Host]
	if !owned || !open || host.Session != owner.Session || !v.DomainsOut[host.FailureDomain] {
		return false
	}
	chosen, found := v.selector().selectOwner(service, owner.Session)
	return found && !v.DomainsOut[chosen.FailureDomain]
}

func (v *View) selector() ownerSelector {
	hosts := make([]Host, 0, len(v.Hosts))
	for _, host := range v.Hosts {
		if host.CanOwn {
			hosts = append(hosts, host)
		}
	}
	return newOwnerSelector(hosts, v.Owners, v.DomainsOut)
}

// nextView returns the view after a command. It shares the parts that the
// command has not changed with the previous view.
func (s *state) nextView(previous *View) *View {
	view := *previous
	view.Revision = s.revision
	if s.changed.fleet {
		view.FleetVersion, view.FleetConfig, view.Fleet = s.fleetVersion, s.fleetConfig, s.fleet
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
		view.PendingOrders = maps.Clone(s.pendingOrders)
	}
	if s.changed.rollouts {
		view.Rollouts = maps.Clone(s.rollouts)
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
