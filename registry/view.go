package registry

import "comfreytiller.dev/fleet"

// View is the part of the replicated state that every host follows. A view is
// never changed once made.
type View struct {
	// Revision is the log index of the newest change in the view.
	Revision uint64
	// FleetVersion counts the accepted fleet texts; it only rises.
	FleetVersion uint64
	FleetText    []byte
	// Fleet is the parsed text; nil before the first version.
	Fleet *fleet.Fleet
	// Hosts are the open sessions, by host name.
	Hosts map[string]Host
	// Owners are the owners of the services, by service name.
	Owners map[string]Owner
	// DomainsOut and TargetsOut are what operators have taken out.
	DomainsOut map[string]bool
	TargetsOut map[string]bool
	// Pins bind targets to services, by target name.
	Pins map[string]string
}

// Host is one open session.
type Host struct {
	Name          string
	Session       uint64
	FailureDomain string
	// PeerAddress and CallerAddress are the host's IP:port for its peers and
	// for callers.
	PeerAddress   string
	CallerAddress string
	// Owns is set when the host may own services.
	Owns bool
}

// Owner is the host that admits the requests of a service.
type Owner struct {
	Host    string
	Session uint64
	// Backup is the host that keeps a copy of the chats' memory.
	Backup string
	// Fence is the log index of the grant; it rises with each owner.
	Fence uint64
}
