// Package settings loads and validates the settings of a host: JSON with
// comments and Pascal case keys.
//
// The settings are validated completely before the host starts. Every fault is
// reported with its line, its column and the expected value.
//
// # Usage
//
//	loaded, err := settings.Load("rabat-a-1.jsonc")
//	if errors.Is(err, jsonc.ErrInvalid) { ... }
package settings

import (
	"time"
)

// Settings holds the local configuration of a host. The configuration that the
// fleet shares is not part of it.
type Settings struct {
	// Host is the host's name, unique in the fleet.
	Host          string
	FailureDomain string
	// Callers is the IP:port for callers and for messages from targets.
	Callers string
	// Peers is the IP:port for other hosts and operators.
	Peers string
	// Admin is the IP:port for health, readiness and metrics.
	Admin string
	// Role is the role of the host in the fleet; RoleWhole by default.
	Role Role
	// Protocol names the protocol of callers, targets and operators on hosts of
	// the roles Entry and State; empty selects the built-in one.
	Protocol string
	// KeyFile is the file with the key that hosts and operators share. It may
	// only be empty in the roles Entry and State, and if TrustNetwork is set.
	KeyFile string
	// TrustNetwork allows hosts to communicate without a key, in a network that
	// only they can reach.
	TrustNetwork bool
	// TargetKeyFile is the file with the key that targets must present; empty
	// requires none.
	TargetKeyFile string
	// StateReplicas are the peer addresses of state replicas, at least one of
	// which must be up when the host starts.
	StateReplicas []string
	// OwnsServices allows the host to become the owner of services.
	OwnsServices bool
	// State configures the state replica; nil on hosts without one.
	State *State
	Log   Log
	// Pprof enables profiling on the admin address.
	Pprof bool
	// DrainTimeout limits the duration of a graceful shutdown; 0 waits until
	// every stream has ended.
	DrainTimeout time.Duration
	// Retries limits the retries for each service, over all entry hosts.
	Retries Retries
	// Bandwidth is the rate of the host's network link, in Mbit/s; 0 if unknown.
	Bandwidth float64
	// Features are the names of behaviours that the deployment switches on, as the
	// protocol calls them.
	Features []string
	// Rollouts allows orders of rollouts, in the roles Entry and State; nil if they are off.
	Rollouts *Rollouts
	// Memory is the memory of the host, in MB, in the roles Entry and State; 0 if unknown.
	Memory int
	// Descriptors is the number of files and connections that the host may have open, in the
	// roles Entry and State; 0 if unknown.
	Descriptors int
}

// Role is the role of a host in the fleet.
type Role string

// Roles of hosts.
const (
	// RoleWhole hosts relay requests, own services and, with State, keep a state
	// replica.
	RoleWhole Role = "Whole"
	// RoleEntry hosts relay requests and select targets based on their own view.
	RoleEntry Role = "Entry"
	// RoleState hosts keep a state replica, handle calls of targets and
	// operators, and send the state to the entry hosts.
	RoleState Role = "State"
)

// Retries is the retry budget of a service over all entry hosts: within any
// Window, the number of retries is limited to Share of the requests plus Extra.
type Retries struct {
	Share  float64
	Extra  int
	Window time.Duration
}

// Rollouts bounds what the callers of a service notice of a rollout to a bad version.
type Rollouts struct {
	// ExposedShare is the share of all requests to the service, from the order to the
	// deadline, that a bad version may get beyond ExposedExtra requests.
	ExposedShare float64
	ExposedExtra int
	// RevertWithin is the time after its 50th bad response within which all hosts must have
	// left a bad version.
	RevertWithin time.Duration
}

// State describes a host's state replica.
type State struct {
	// Folder is the data directory on the host's disk. It must exist.
	Folder string
	// Cluster is the prefix of the ID of a cluster that is created by this host.
	Cluster string
	// Tolerates is the number of replicas that may fail at the same time, in the
	// role State. The cluster has 2*Tolerates+1 voters.
	Tolerates int
	// First is set for the first start of a fleet, in the role State. The replica
	// with the lowest address in StateReplicas then creates the cluster.
	First bool
}

// Log configures the logger.
type Log struct {
	// Level is one of debug, info, warning, error.
	Level string
	// Format is text or json.
	Format string
	// Output is stderr or stdout. Lines to stdout are written asynchronously and
	// dropped if their reader is slow.
	Output string
}
