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
	// ReadFleet gives the meaning of the operators' text.
	ReadFleet registry.FleetReader
	// NewFace returns the protocol of callers.
	NewFace func(catalog Catalog) gateway.Codec
	// NewSender returns what speaks to targets.
	NewSender func(clock clockwork.Clock) Sender
	// NewControl returns the handler for targets and operators.
	NewControl func(control Control) fasthttp.RequestHandler
	// ReadyPath is where the balancer asks whether an entry host takes callers.
	ReadyPath string
}

// Sender speaks to targets.
type Sender interface {
	target.Sender
	// Reaches opens a connection to a target and closes it again.
	Reaches(ctx context.Context, address string) error
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
	// ErrNotNow says that the call had no effect, or an unknown one, and may be
	// made again, here or at another host.
	ErrNotNow = errors.New("this host can't tell now")
	// ErrInvalid says that the operators' text has faults.
	ErrInvalid = errors.New("invalid fleet text")
	// ErrConflict says that another text has the same version.
	ErrConflict = errors.New("the version has another text")
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
