package registry

import (
	"cmp"
	"time"
)

// ClaimState is a state in the life cycle of a claim; see the package
// documentation for the transitions.
type ClaimState string

// Claim states.
const (
	// ClaimOpen: the dispatcher may send the request once.
	ClaimOpen ClaimState = "Open"
	// ClaimDone: the request has run and its response is stored.
	ClaimDone ClaimState = "Done"
	// ClaimInDoubt: the request may have run; its response is unknown.
	ClaimInDoubt ClaimState = "InDoubt"
	// ClaimCancelled: the request was never sent. A later attempt may open the
	// claim again.
	ClaimCancelled ClaimState = "Cancelled"
	// ClaimSettled: an operator has resolved the claim; the request never runs
	// again.
	ClaimSettled ClaimState = "Settled"
)

// ClaimKey identifies a claim. Workspace may be empty.
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

func (k ClaimKey) isValid() bool {
	return k.Service != "" && k.Key != "" &&
		len(k.Workspace) <= MaxIdentifierBytes &&
		len(k.Service) <= MaxIdentifierBytes &&
		len(k.Key) <= MaxClaimKeyBytes
}

// Response is the complete response to a claimed request, as stored with the
// claim.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is set when the body is not stored: it exceeded
	// MaxResponseBytes, or was dropped to stay within MaxStoredResponseBytes.
	Truncated bool
}

// bounded returns the response, without its body if that is too long to store.
func (r Response) bounded() Response {
	if len(r.Body) > MaxResponseBytes || r.Truncated {
		r.Body = nil
		r.Truncated = true
	}
	return r
}

// Claim is the record of a request with at-most-once semantics.
type Claim struct {
	ClaimKey
	State       ClaimState
	Fingerprint uint64
	// Sequence is the sequence number of the log entry that opened the claim. It
	// is the fencing token of the dispatch and the sort key in snapshots.
	Sequence uint64
	// Dispatcher is the session, and Attempt its attempt, that may send the
	// request or has sent it.
	Dispatcher uint64
	Attempt    uint64
	Response   Response
	// Opened and Changed are by the state's clock. Changed is the time of the
	// last state transition.
	Opened  time.Time
	Changed time.Time
	// Ran and Note are set by the operator that settles the claim. Ran is
	// whether the request has run.
	Ran  bool
	Note string
	// FinishedSequence is the sequence number of the log entry that stored the
	// response.
	FinishedSequence uint64
	// SweepCount is the number of ExpireClaims commands that found the claim
	// resolved.
	SweepCount uint64
}

func (c *Claim) isDispatchedBy(session, attempt uint64) bool {
	return session != 0 && c.Dispatcher == session && c.Attempt == attempt
}

// isResolved reports whether the outcome of the claim is final, except that a
// cancelled claim may be opened again by a new attempt.
func (c *Claim) isResolved() bool {
	return c.State == ClaimDone || c.State == ClaimCancelled || c.State == ClaimSettled
}
