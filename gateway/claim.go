package gateway

import (
	"context"
	"time"
)

// ClaimState is the state of a claim for a request that runs at most once.
type ClaimState string

// States of a claim.
const (
	// ClaimOpen means that this caller holds the claim and may dispatch once.
	ClaimOpen ClaimState = "Open"
	// ClaimRunning means that another dispatcher holds the claim, or that this
	// one has already opened it.
	ClaimRunning ClaimState = "Running"
	// ClaimDone means that the request has run and its response is stored.
	ClaimDone ClaimState = "Done"
	// ClaimInDoubt means that the request may have run and no response is
	// known.
	ClaimInDoubt ClaimState = "InDoubt"
	// ClaimCancelled means that the request has not run and never will under
	// this claim.
	ClaimCancelled ClaimState = "Cancelled"
	// ClaimConflict means that the key was used with a different request.
	ClaimConflict ClaimState = "Conflict"
)

// ClaimKey identifies a claim.
type ClaimKey struct {
	Workspace string
	Service   string
	Key       string
}

// Claim is the committed state of a claim.
type Claim struct {
	ClaimKey
	State ClaimState
	// Fingerprint is a hash of the call and its body.
	Fingerprint uint64
	// Dispatcher is the ID of the session that may dispatch the request.
	Dispatcher uint64
	Response   StoredResponse
}

// StoredResponse is a complete response as stored with a claim.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is set if the body was too long to store. Body is then nil.
	Truncated bool
}

// Claims commits claims to the replicated state.
type Claims interface {
	// Open commits a new claim or returns the state of the existing one. The
	// caller may dispatch only if the state is ClaimOpen, and only once.
	Open(ctx context.Context, key ClaimKey, fingerprint uint64, now time.Time) (Claim, error)
	// Finish commits that the request has run, together with its response.
	Finish(ctx context.Context, key ClaimKey, response StoredResponse) error
	// Cancel commits that the request was never sent. Only the dispatcher may
	// cancel its open claim. Once Cancel succeeds, the request is guaranteed
	// not to run.
	Cancel(ctx context.Context, key ClaimKey) error
	// MarkInDoubt commits that the request may have run.
	MarkInDoubt(ctx context.Context, key ClaimKey) error
}
