package gateway

import (
	"context"
	"time"
)

// ClaimState is the state of a claim for a request that runs at most once.
type ClaimState string

// The claim states.
const (
	// ClaimOpen: this caller holds the claim and may dispatch once.
	ClaimOpen ClaimState = "Open"
	// ClaimRunning: another dispatcher holds the claim, or an earlier Open of
	// this one does.
	ClaimRunning ClaimState = "Running"
	// ClaimDone: the request has run; the answer is stored.
	ClaimDone ClaimState = "Done"
	// ClaimInDoubt: the request may have run; no answer is known.
	ClaimInDoubt ClaimState = "InDoubt"
	// ClaimCancelled: the request has not run and never will under this claim.
	ClaimCancelled ClaimState = "Cancelled"
	// ClaimConflict: the key was used with another request.
	ClaimConflict ClaimState = "Conflict"
)

// ClaimKey names a claim.
type ClaimKey struct {
	Workspace string
	Service   string
	Key       string
}

// Claim is a claim as the quorum knows it.
type Claim struct {
	ClaimKey
	State ClaimState
	// Fingerprint is the hash of the call and its body.
	Fingerprint uint64
	// Dispatcher is the session that may dispatch.
	Dispatcher uint64
	Response   StoredResponse
}

// WriteHeader is a whole answer as it is stored with a claim.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is set when the body was too long to store.
	Truncated bool
}

// Claims commits claims at the quorum.
type Claims interface {
	// Open commits the claim or returns the state of the one that exists. Only
	// the state ClaimOpen allows the caller to dispatch, once.
	Open(ctx context.Context, key ClaimKey, fingerprint uint64, now time.Time) (Claim, error)
	// Finish commits the outcome and the answer.
	Finish(ctx context.Context, key ClaimKey, answer StoredResponse) error
	// Cancel commits that the request was never sent. Only the dispatcher may
	// cancel its open claim; after it, "not run" is true.
	Cancel(ctx context.Context, key ClaimKey) error
	// MarkInDoubt commits that the request may have run.
	MarkInDoubt(ctx context.Context, key ClaimKey) error
}
