// Package protocol defines the interface between the hosts of a fleet and the
// protocol of its callers, targets and operators.
//
// A protocol only translates between the wire format and the types of the fleet.
// Decisions, state and recovery are left to the hosts, so that a fleet behaves
// the same with every protocol.
//
// # Usage
//
//	daemon, err := entry.New(entry.Dependencies{Protocol: protocol.Protocol{...}, ...})
package protocol

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/gateway"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

// Protocol provides the protocol-specific parts of a host.
type Protocol struct {
	// ParseFleet parses the fleet configuration of the operators.
	ParseFleet registry.FleetParser
	// NewCodec returns the codec for requests and responses of callers.
	NewCodec func(catalog Catalog) gateway.Codec
	// NewSender returns the client for targets, which connects to them by dialer; nil connects
	// directly.
	NewSender func(clock clockwork.Clock, dialer target.Dialer) Sender
	// NewControlHandler returns the handler for calls of targets and operators.
	NewControlHandler func(control Control) fasthttp.RequestHandler
	// ReadinessPath is the path of the readiness check of an entry host, for load
	// balancers.
	ReadinessPath string
	// Features returns the features that the settings name; names that the protocol does
	// not know are ignored. It may be nil for none.
	Features func(names []string) Features
}

// Features are behaviours that a deployment switches on.
type Features struct {
	// FairAdmission shares the capacity of a service in need by priority and fairness.
	FairAdmission bool
}

// EnabledFeatures returns the features that the settings name.
func (p *Protocol) EnabledFeatures(names []string) Features {
	if p.Features == nil {
		return Features{}
	}
	return p.Features(names)
}

// Sender is a client for targets.
type Sender interface {
	target.Sender
	// Probe opens a connection to a target and closes it again.
	Probe(ctx context.Context, address string) error
	// Close closes idle connections.
	Close()
}

// Catalog provides the fleet configuration in force on an entry host.
type Catalog interface {
	// Table returns the configuration in force, or nil before the first one.
	Table() *fleet.Table
	// IsConfirmed reports whether the configuration has lately been confirmed to be the
	// latest. Otherwise routes and keys that it lacks may exist.
	IsConfirmed() bool
}

// Errors of Control.
var (
	// ErrUnavailable reports that a call had no effect, or an unknown one. It may be
	// retried, on this or on another host.
	ErrUnavailable = errors.New("this host can't tell now")
	// ErrInvalidConfig reports a fleet configuration with faults.
	ErrInvalidConfig = errors.New("invalid fleet text")
	// ErrVersionConflict reports that a different configuration has the same
	// version.
	ErrVersionConflict = errors.New("the version has another text")
	// ErrInvalidRollout reports an order of a rollout that can't be carried out, and
	// ErrRolloutConflict one that an earlier rollout rules out.
	ErrInvalidRollout  = errors.New("invalid rollout")
	ErrRolloutConflict = errors.New("an earlier rollout of the service rules this one out")
	// ErrNoRollout reports a service that never had a rollout.
	ErrNoRollout = errors.New("the service has no rollout")
)

// Control handles the calls of targets and operators on a state host.
type Control interface {
	// Announce adds or updates a target.
	Announce(ctx context.Context, entry roster.Entry) error
	// Leave removes a target. It succeeds if the target is not known.
	Leave(ctx context.Context, name string) error
	// PutFleet commits a configuration under the version that the operators
	// assigned to it. It returns ErrInvalidConfig or ErrVersionConflict if the
	// configuration is rejected.
	PutFleet(ctx context.Context, version uint64, config []byte) error
	// Fleet returns the latest configuration and its version, or version 0 if
	// there is none.
	Fleet(ctx context.Context) (version uint64, config []byte, err error)
	// SetOutage takes a failure domain out of service or returns it to service.
	// It returns registry.ErrUnknown for an outage of an unknown failure domain, and
	// ErrUnavailable without an effect if the caller no longer waits.
	SetOutage(ctx context.Context, caller Caller, failureDomain string, out bool) error
}

// RolloutControl is implemented by a Control that takes orders of rollouts.
type RolloutControl interface {
	// StartRollout orders that the requests of a service move to the targets of a software
	// version within a time. A repeated order succeeds without effect. It returns
	// ErrInvalidRollout or ErrRolloutConflict if the order is rejected, and ErrUnavailable
	// without an effect if the caller no longer waits.
	StartRollout(ctx context.Context, caller Caller, service, version string, duration time.Duration) error
	// Rollout returns the last rollout of a service, or ErrNoRollout.
	Rollout(ctx context.Context, service string) (registry.Rollout, error)
}

// Caller is the sender of a call.
type Caller interface {
	// IsWaiting reports whether the caller still waits for the response, as far as it is
	// known. A call may be read long after it was sent.
	IsWaiting() bool
}
