// Package settings reads and checks a host's settings, JSON with comments and
// Pascal case keys.
//
// The settings are checked in full before anything starts; every fault is
// reported with its line, its column and what is accepted.
//
// # Usage
//
//	loaded, err := settings.Load("rabat-a-1.jsonc")
//	if errors.Is(err, jsonc.ErrInvalid) { ... }
package settings

import (
	"time"
)

// Settings are all that a host is told from outside the fleet.
type Settings struct {
	// Host is the host's name, unique in the fleet.
	Host          string
	FailureDomain string
	// Callers is the IP:port for callers and for what targets send.
	Callers string
	// Peers is the IP:port for other hosts and operators.
	Peers string
	// Admin is the IP:port for health, readiness and metrics.
	Admin string
	// KeyFile holds the key that hosts and operators share.
	KeyFile string
	// TargetKeyFile holds the key that targets prove; empty for none.
	TargetKeyFile string
	// StateReplicas are the peer addresses of state replicas, at least one of
	// which must be up when the host starts.
	StateReplicas []string
	// OwnsServices is set where the host may decide for services.
	OwnsServices bool
	// State is set on the hosts that keep a state replica.
	State *State
	Log   Log
	// Pprof serves profiles on the admin address.
	Pprof bool
	// DrainTimeout bounds a graceful shutdown; 0 waits for every stream.
	DrainTimeout time.Duration
}

// State describes a host's state replica.
type State struct {
	// Folder is the data folder on the host's disk. It must exist.
	Folder string
	// Cluster begins the identity of a cluster that --Bootstrap makes here.
	Cluster string
}

// Log says what is logged and how.
type Log struct {
	// Level is one of debug, info, warning, error.
	Level string
	// Format is text or json.
	Format string
}
