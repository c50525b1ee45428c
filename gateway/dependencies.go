package gateway

import (
	"context"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Dependencies are the components that a gateway uses. Admitter, Catalog,
// Authority, Claims and Sender are required; the others have defaults.
type Dependencies struct {
	Admitter  Admitter
	Catalog   Catalog
	Authority Authority
	Claims    Claims
	Sender    target.Sender
	Clock     clockwork.Clock
	// Logger receives one line for each routing decision, with the prefix
	// "Route".
	Logger *logrus.Logger
	Scope  tally.Scope
	// Host is the name of this host.
	Host string
	// ReadinessCheck is an additional readiness condition; nil for none.
	ReadinessCheck func() error
	// Codec implements the protocol of the callers; nil for the gateway's own
	// protocol.
	Codec Codec
	// OnTargetResponse is called as soon as the header of a target's response
	// has been received, also if the response violates the protocol; nil to
	// ignore what targets say of themselves. The permit names the target.
	OnTargetResponse func(permit admission.Permit, header target.ResponseHeader)
	// OnTargetSilence is called when a target has sent nothing for its timeout and the
	// request goes on waiting for it, then several times per timeout; nil to ignore
	// silent targets until their requests end. The permit names the target.
	OnTargetSilence func(permit admission.Permit)
	// OnFirstByte is called when the response to a call has begun: with the header of a
	// complete response or the first event of a stream; nil to ignore it. The permit names the
	// target.
	OnFirstByte func(permit admission.Permit, call string, firstByte time.Duration)
	// StreamOrigins knows which software version began the streams that callers take up;
	// nil to let them go on at any.
	StreamOrigins StreamOrigins
	// RetryAfter returns the delay after which the caller of a request with the given
	// service and deadline may retry it; nil for the same for all. Refused permits have
	// their own.
	RetryAfter func(service string, deadline time.Time) time.Duration
	// LongestPause returns the longest time for which this process has stood still since a time;
	// nil if it is not known.
	LongestPause func(since time.Time) time.Duration
	// RetryBudget limits retries; nil limits them to a share of the requests on
	// this host.
	RetryBudget RetryBudget
}

// RetryBudget limits the number of retries per service.
type RetryBudget interface {
	// RecordRequest records a request for the service.
	RecordRequest(service string)
	// TakeRetry consumes one retry and reports whether one was available.
	TakeRetry(service string) bool
	// ReturnRetry returns a retry that was taken and not used.
	ReturnRetry(service string)
}

// Admitter grants permits to send requests to targets. The implementation of
// the host asks the owner of the service.
type Admitter interface {
	// Acquire waits for a permit until the deadline of the request. It returns
	// an *admission.Refusal if no part of the request ran.
	Acquire(ctx context.Context, request admission.Request) (admission.Permit, error)
	// Release returns a permit. It does not block.
	Release(release admission.Release)
}

// Catalog provides the active fleet configuration.
type Catalog interface {
	// Fleet returns the fleet configuration active on this host, or nil before
	// the first one is received.
	Fleet() *fleet.Fleet
	// Available reports whether a service and all of its dependencies can
	// serve.
	Available(service string) bool
}

// Authority reports whether this host may send requests to targets.
type Authority interface {
	// Check returns nil only while the session lease of the host is valid by
	// its own monotonic clock, minus a safety margin. It is called after the
	// last step that may block before bytes are sent to a target.
	Check() error
}
