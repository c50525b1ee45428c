package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// StreamOrigins knows which software version of a service's targets began a stream. IDs are
// those that callers gave the requests that began the streams.
type StreamOrigins interface {
	// RecordOrigin records the version that began a stream, which its caller may take up
	// until a time.
	RecordOrigin(service, id, version string, until time.Time)
	// FindOrigin returns the version that began a stream. It returns an error if that is
	// not known; the stream must not go on then.
	FindOrigin(ctx context.Context, service, id string) (version string, err error)
}

// originMargin is how long after its deadline a stream may be taken up: clocks and the way
// to the caller.
const originMargin = 2 * time.Second

// streamID returns the ID of the request that began the stream.
func (r *Request) streamID() string {
	if r.isTakenUp() && r.ResumedID != "" {
		return r.ResumedID
	}
	return r.CallerID
}

// isTakenUp reports whether the caller has received the first part of a stream and asks for
// the rest.
func (r *Request) isTakenUp() bool { return r.LastEventID != "" }

// findOrigin limits a stream that the caller takes up to the targets of the version that
// began it. It returns the failure if that is not known.
func (x *exchange) findOrigin() *Failure {
	origins := x.gateway.StreamOrigins
	if origins == nil || !x.Call.Stream || !x.isTakenUp() {
		return nil
	}
	if x.ResumedID == "" {
		return x.unknownOrigin("the request does not name the one that began the stream")
	}
	version, err := origins.FindOrigin(x.ctx, x.Service.Name, x.ResumedID)
	if err != nil {
		return x.unknownOrigin(err.Error())
	}
	x.requireVersion(version)
	x.gateway.logTakenUp(x.dispatcher)
	return nil
}

func (x *exchange) unknownOrigin(reason string) *Failure {
	return failure(fasthttp.StatusServiceUnavailable, CodeUnknownOrigin, reason).withRetryAfter(x.gateway.settings.retryAfter)
}

// recordOrigin records the version of the target that began a stream which its caller may
// take up.
func (x *exchange) recordOrigin(a *attempt) {
	if origins := x.gateway.StreamOrigins; origins != nil && x.Call.Idempotent && a.isSuccess() {
		origins.RecordOrigin(x.Service.Name, x.streamID(), a.permit.Version, x.Deadline.Add(originMargin))
	}
}
