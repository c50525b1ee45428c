// Package registry implements the replicated state machine of the fleet: the
// fleet configuration, outages, host sessions, service owners, claims and
// placement orders.
//
// The state machine is deterministic: the same commands in the same order
// produce the same state and byte-identical snapshots. It reads no clock; the
// leader that proposes a command sets its timestamps. Validation of the fleet
// configuration is part of the state machine, so all state replicas must run the
// same release while a configuration is applied.
//
// # Authority
//
// A session grants authority to one process of a host. Its number is the
// sequence number of the log entry that created it, as is every fencing token
// and every revision. A sequence number is the log index plus a base that rises
// with each restored backup, so it is never reused. A service has one owner at a
// time. The owner changes only with CloseSession, after its lease has expired or
// its process has shut down, and with MoveOwner, which the owner proposes after
// it has stopped admitting requests.
//
// # Operators
//
// Operator commands are idempotent: each has an ID, and a command sent again
// gets the same result while it is among the newest MaxOperations. ApplyFleet
// names the version that it was based on: of two commands with the same base
// version, the first one committed wins. Versions only increase.
//
// # Claims
//
// A request with at-most-once semantics is claimed before it is sent. Only the
// attempt whose OpenClaim is Granted may send it, once, while the lease of its
// session is valid. An open claim changes state with FinishClaim, CancelClaim or
// MarkClaimInDoubt; it becomes in doubt if its session closes first. A claim in
// doubt is never granted again: it is resolved by a late FinishClaim of its
// dispatcher or by SettleClaim of an operator. The request of a cancelled claim
// was never sent, so the claim may be opened again.
//
//	          OpenClaim            FinishClaim
//	(none) ─────────────▶ Open ───────────────────▶ Done
//	   ▲                  │  │                        ▲
//	   │ ExpireClaims     │  │ MarkClaimInDoubt,      │ late FinishClaim
//	   │ (Done, Settled,  │  │ CloseSession           │
//	   │  Cancelled)      │  └──────────▶ InDoubt ────┤
//	                      │ CancelClaim               │ SettleClaim
//	                      ▼                           ▼
//	                  Cancelled ──▶ Open           Settled
//
// # Usage
//
//	machine := registry.NewMachine()
//	encoded := machine.Apply(index, term, registry.EncodeCommand(registry.SetOutage{
//		Operation:     registry.Operation{ID: id, Time: now},
//		FailureDomain: "rabat-agdal",
//		Out:           true,
//	}))
//	result, err := registry.DecodeResult(encoded)
//	if err == nil {
//		err = result.Err() // nil, or a sentinel for errors.Is
//	}
//
// A host keeps its view up to date with deltas:
//
//	changed := machine.Changed()
//	delta := machine.EncodedDeltaSince(view.Revision, view.FleetVersion)
//	...
//	decoded, err := registry.DecodeDelta(delta)
//	view, err = decoded.Apply(view)
//	<-changed
//
// The leader manages the leases:
//
//	leases := registry.NewLeases(registry.WithLeaseDuration(3 * time.Second))
//	leases.StartTerm(now) // once per term, after a barrier
//	leases.SyncSessions(machine.View(), now)
//	if leases.Renew(session, now) && stillLeads() { ... }
//	for _, session := range leases.Expired(now) {
//		propose(registry.CloseSession{Session: session, Reason: registry.CloseExpired, Term: term})
//	}
package registry
