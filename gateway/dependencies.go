package gateway

import (
	"context"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Dependencies are what a gateway works with. Admitter, Catalog, Authority,
// Claims and Sender are needed; the rest has defaults.
type Dependencies struct {
	Admitter  Admitter
	Catalog   Catalog
	Authority Authority
	Claims    Claims
	Sender    target.Sender
	Clock     clockwork.Clock
	// Logger gets one line for each routing decision, with the prefix "Route".
	Logger *logrus.Logger
	Scope  tally.Scope
	// Host is this host's name.
	Host string
	// ReadinessCheck adds a condition to readiness; nil for none.
	ReadinessCheck func() error
	// Codec is the protocol that callers speak; nil for the gateway's own.
	Codec Codec
	// OnTargetLoad takes what targets tell of their load; nil for none.
	OnTargetLoad func(target string, load target.Load)
	// RetryBudget bounds the retries; nil for a share of this host's requests.
	RetryBudget RetryBudget
}

// RetryBudget bounds the requests that are sent to targets once more.
type RetryBudget interface {
	// RecordRequest counts a request of the service.
	RecordRequest(service string)
	// TakeRetry takes one retry; it reports false when none is left.
	TakeRetry(service string) bool
}

// Admitter gives permits. The host's implementation asks the owner of the
// service.
type Admitter interface {
	// Acquire waits for a permit until the request's deadline. Its error is an
	// *admission.Refusal when no part of the request ran.
	Acquire(ctx context.Context, request admission.Request) (admission.Permit, error)
	// Release gives a permit back. It does not block.
	Release(release admission.Release)
}

// Catalog gives the fleet in force.
type Catalog interface {
	// Fleet returns the fleet in force on this host; nil before the first.
	Fleet() *fleet.Fleet
	// Available reports whether a service and all it depends on can serve.
	Available(service string) bool
}

// Authority tells whether this host may give work to targets.
type Authority interface {
	// Check returns nil only while the host's session lease is live by its own
	// monotonic clock less a margin. It is called after the last step that may
	// block before bytes are sent to a target.
	Check() error
}
