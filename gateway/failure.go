package gateway

import (
	"encoding/json"
	"time"

	"comfreytiller.dev/admission"
	"github.com/valyala/fasthttp"
)

// Ran indicates whether a failed request ran on a target.
type Ran string

// Values of Ran.
const (
	// RanNo means that no byte of the request was sent to a target, or that
	// every target reported that it did not run it.
	RanNo Ran = "No"
	// RanYes means that the request has run, but its response is not available.
	RanYes Ran = "Yes"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "Unknown"
)

// Code identifies the kind of a failure.
type Code string

// Codes of failures that callers receive. Refused permits use the codes of
// admission.RefusalCode.
const (
	CodeBadRequest         Code = "BadRequest"
	CodeNotFound           Code = "NotFound"
	CodeMethodNotAllowed   Code = "Method"
	CodeForbidden          Code = "Forbidden"
	CodeBodyTooLarge       Code = "BodyTooLarge"
	CodeHeaderTooLarge     Code = "HeaderTooLarge"
	CodeURITooLong         Code = "URITooLong"
	CodeSlowSender         Code = "SlowSender"
	CodeTooManyConnections Code = "TooManyConnections"
	CodeMemory             Code = "Memory"
	CodeDraining           Code = "Draining"
	CodeNotReady           Code = "NotReady"
	CodeNoOwner            Code = "NoOwner"
	CodeDeadlineExceeded   Code = "Deadline"
	CodeTargetFailed       Code = "TargetFailed"
	CodeTargetFull         Code = "TargetFull"
	CodeInDoubt            Code = "InDoubt"
	CodeRunning            Code = "Running"
	CodeKeyConflict        Code = "KeyConflict"
	CodeCancelled          Code = "Cancelled"
	CodeResponseNotStored  Code = "AnswerNotStored"
	CodeClaimsUnavailable  Code = "ClaimsUnavailable"
	CodeCallerGone         Code = "CallerGone"
	// CodeUnknownOrigin: nobody in reach knows which software version began the stream that
	// the caller takes up.
	CodeUnknownOrigin Code = "UnknownOrigin"
)

// Failure is an error that is returned to a caller.
type Failure struct {
	Status  int
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter is the delay after which a retry may succeed; 0 if a retry
	// won't help.
	RetryAfter time.Duration
}

// Error returns the code and message of the failure.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// NewFailure returns a failure of a request that did not run.
func NewFailure(status int, code Code, message string) *Failure {
	return failure(status, code, message)
}

// failure returns a failure of a request that did not run.
func failure(status int, code Code, message string) *Failure {
	return &Failure{Status: status, Code: code, Message: message, Ran: RanNo}
}

// withRetryAfter sets RetryAfter and returns f.
func (f *Failure) withRetryAfter(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

// FailureBody is the JSON body of a failure. RetryAfter is in seconds.
type FailureBody struct {
	Code       string
	Message    string
	Ran        string
	RetryAfter float64
}

// EncodeFailure returns the JSON body of a failure.
func EncodeFailure(f *Failure) []byte {
	body, _ := json.Marshal(FailureBody{
		Code: string(f.Code), Message: f.Message, Ran: string(f.Ran), RetryAfter: f.RetryAfter.Seconds(),
	})
	return body
}

// refusalFailure converts a refused permit to a failure.
func refusalFailure(refusal *admission.Refusal) *Failure {
	status := fasthttp.StatusServiceUnavailable
	switch refusal.Code {
	case admission.RefusedQueueFull:
		status = fasthttp.StatusTooManyRequests
	case admission.RefusedDeadline:
		status = fasthttp.StatusGatewayTimeout
	case admission.RefusedUnknownService:
		status = fasthttp.StatusNotFound
	case admission.RefusedUnknownWorkspace:
		status = fasthttp.StatusForbidden
	}
	return failure(status, Code(refusal.Code), refusal.Message).withRetryAfter(refusal.RetryAfter)
}

// fail writes a failure as the response to a request.
func (g *Gateway) fail(ctx *fasthttp.RequestCtx, f *Failure) {
	ctx.Response.ResetBody()
	g.Codec.WriteFailure(ctx, f)
	g.closeIfDraining(ctx)
	g.metrics.countFailure(f)
}

// closeIfDraining closes the connection after the response if the gateway is
// draining or keep-alive is disabled, so that the next request of the caller
// goes to another host. It also closes one that was opened before the fleet
// configuration allowed larger heads.
func (g *Gateway) closeIfDraining(ctx *fasthttp.RequestCtx) {
	if g.tracker.isDraining() || g.keepAliveDisabled.Load() || g.isOutgrown(ctx) {
		ctx.SetConnectionClose()
	}
}
