package registry

import (
	"cmp"
	"time"
)

// ClaimState is the state of a claim.
type ClaimState string

// The states of a claim.
const (
	// ClaimOpen: its dispatcher may send the request once.
	ClaimOpen ClaimState = "Open"
	// ClaimDone: the request has run; the answer is stored.
	ClaimDone ClaimState = "Done"
	// ClaimInDoubt: the request may have run; no answer is known.
	ClaimInDoubt ClaimState = "InDoubt"
	// ClaimCancelled: the request was never sent. A later attempt may open the
	// claim again.
	ClaimCancelled ClaimState = "Cancelled"
	// ClaimSettled: an operator has given the verdict; it never runs again.
	ClaimSettled ClaimState = "Settled"
)

// ClaimKey names a claim.
type ClaimKey struct {
	Workspace string
	Service   string
	Key       string
}

func compareClaimKeys(a, b ClaimKey) int {
	return cmp.Or(
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Key, b.Key),
	)
}

func (k ClaimKey) valid() bool {
	return k.Service != "" && k.Key != "" &&
		len(k.Workspace) <= MaxIdentifierBytes &&
		len(k.Service) <= MaxIdentifierBytes &&
		len(k.Key) <= MaxClaimKeyBytes
}

// Response is a whole answer as it is stored with a claim.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is set when the body is not stored: it was longer than
	// MaxResponseBytes, or newer answers took its place.
	Truncated bool
}

// bounded returns the answer without its body if that is too long to store.
func (a Response) bounded() Response {
	if len(a.Body) > MaxResponseBytes || a.Truncated {
		a.Body = nil
		a.Truncated = true
	}
	return a
}

// Claim is the record of a request that runs at most once.
type Claim struct {
	ClaimKey
	State       ClaimState
	Fingerprint uint64
	// Sequence is that of the log entry that opened the claim. It is the fencing
	// number of the dispatch, and the order of claims in a snapshot.
	Sequence uint64
	// Dispatcher and Attempt name who may dispatch or did.
	Dispatcher uint64
	Attempt    uint64
	Response   Response
	// Opened and Changed are times of the state's clock.
	Opened  time.Time
	Changed time.Time
	// Ran and Note are the verdict of a settled claim.
	Ran  bool
	Note string
	// FinishedSequence is the number of the log entry that stored the answer.
	FinishedSequence uint64
	// SweepCount is the number of ExpireClaims that found the claim ended.
	SweepCount uint64
}

func (c *Claim) dispatchedBy(session, attempt uint64) bool {
	return session != 0 && c.Dispatcher == session && c.Attempt == attempt
}

// ended reports whether nothing more can happen to the request of the claim
// but a new attempt.
func (c *Claim) ended() bool {
	return c.State == ClaimDone || c.State == ClaimCancelled || c.State == ClaimSettled
}
