// Package protocol is the narrow interface between the fleet's own parts and the
// protocol that callers, targets and operators speak to it.
//
// A protocol only translates: it turns what arrives into the fleet's types and
// the fleet's answers into bytes. Decisions, state and recovery stay with the
// hosts, so that two protocols serve the same fleet alike.
//
// # Usage
//
//	daemon, err := entry.New(entry.Dependencies{Protocol: protocol.Protocol{...}, ...})
package protocol

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/gateway"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

// Protocol is what a host needs to be spoken to.
type Protocol struct {
	// ParseFleet gives the meaning of the operators' text.
	ParseFleet registry.FleetReader
	// NewCodec returns the protocol of callers.
	NewCodec func(catalog Catalog) gateway.Face
	// NewSender returns what speaks to targets.
	NewSender func(clock clockwork.Clock) Sender
	// NewControlHandler returns the handler for targets and operators.
	NewControlHandler func(control Control) fasthttp.RequestHandler
	// ReadinessPath is where the balancer asks whether an entry host takes callers.
	ReadinessPath string
}

// Sender speaks to targets.
type Sender interface {
	target.Sender
	// Probe opens a connection to a target and closes it again.
	Probe(ctx context.Context, address string) error
	// Close closes the idle connections.
	Close()
}

// Catalog gives the fleet in force on an entry host.
type Catalog interface {
	// Table returns the fleet in force; nil before the first.
	Table() *fleet.Table
}

// Errors of Control.
var (
	// ErrUnavailable says that the call had no effect, or an unknown one, and may be
	// made again, here or at another host.
	ErrUnavailable = errors.New("this host can't tell now")
	// ErrInvalidConfig says that the operators' text has faults.
	ErrInvalidConfig = errors.New("invalid fleet text")
	// ErrVersionConflict says that another text has the same version.
	ErrVersionConflict = errors.New("the version has another text")
)

// Control takes what targets and operators tell a state host.
type Control interface {
	// Announce takes a target's word.
	Announce(ctx context.Context, entry roster.Entry) error
	// Leave takes a target's last word; a target that is not known has left.
	Leave(ctx context.Context, name string) error
	// PutFleet commits a text under its operators' version.
	PutFleet(ctx context.Context, version uint64, text []byte) error
	// Fleet returns the newest text with its version; 0 for none.
	Fleet(ctx context.Context) (version uint64, text []byte, err error)
	// SetOutage takes a failure domain out or back.
	SetOutage(ctx context.Context, failureDomain string, out bool) error
}
