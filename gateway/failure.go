package gateway

import (
	"encoding/json"
	"time"

	"comfreytiller.dev/admission"
	"github.com/valyala/fasthttp"
)

// Ran tells whether a failed request ran.
type Ran string

// The values of Ran.
const (
	// RanNo: no byte of the request has left this host for a target.
	RanNo Ran = "No"
	// RanYes: the request has run, but its answer can't be given.
	RanYes Ran = "Yes"
	// RanUnknown: the request may have run.
	RanUnknown Ran = "Unknown"
)

// Code names what went wrong.
type Code string

// The codes of failures that callers see. Those of refused permits are the
// codes of admission.RefusalCode.
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
)

// Failure is an error as callers see it.
type Failure struct {
	Status  int
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter is when asking again may help; 0 when it won't.
	RetryAfter time.Duration
}

// Error describes the failure.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// NewFailure returns a failure of a request that did not run.
func NewFailure(status int, code Code, message string) *Failure {
	return failure(status, code, message)
}

// failure returns a failure of a request that did not run.
func failure(status int, code Code, message string) *Failure {
	return &Failure{Status: status, Code: code, Message: message, Ran: RanNo}
}

// after sets when asking again may help.
func (f *Failure) after(d time.Duration) *Failure {
	f.RetryAfter = d
	return f
}

// FailureBody is the error body on the wire. RetryAfter is in seconds.
type FailureBody struct {
	Code       string
	Message    string
	Ran        string
	RetryAfter float64
}

// EncodeFailure writes the error body.
func EncodeFailure(f *Failure) []byte {
	body, _ := json.Marshal(FailureBody{
		Code: string(f.Code), Message: f.Message, Ran: string(f.Ran), RetryAfter: f.RetryAfter.Seconds(),
	})
	return body
}

// refusalFailure maps a refused permit.
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
	return failure(status, Code(refusal.Code), refusal.Message).after(refusal.RetryAfter)
}

// fail answers a request with a failure.
func (g *Gateway) fail(ctx *fasthttp.RequestCtx, f *Failure) {
	ctx.Response.ResetBody()
	g.Codec.WriteFailure(ctx, f)
	g.closeWhileDraining(ctx)
	g.meters.failed(f)
}

// closeWhileDraining ends the caller's connection with the answer, so that its
// next request goes to another host.
func (g *Gateway) closeWhileDraining(ctx *fasthttp.RequestCtx) {
	if g.work.draining() || g.leaving.Load() {
		ctx.SetConnectionClose()
	}
}
