// Package registry is the replicated state machine of the fleet: fleet texts,
// outages, host sessions, owners of services, claims and placement orders.
//
// The machine is deterministic: the same commands in the same order give the
// same state and the same snapshot, byte for byte. It reads no clock; times
// arrive in commands, stamped by the leader that proposes them. What a fleet
// text must be like to be accepted is a part of the machine, so all state
// replicas run the same release of it while a text is applied.
//
// # Authority
//
// A session is the authority of one process of a host. Its number, like every
// fencing number and every revision, is that of the log entry that made it, and
// no number is used twice, not even after a restored backup. A service has one
// owner at a time. The owner changes only with CloseSession, when its lease has
// ended or its process has given everything up, and with MoveOwner, which the
// owner proposes after it has stopped granting.
//
// # Operators
//
// An operator's command has an ID. Sent again it gets the same answer, as long
// as it is among the newest MaxOperations. ApplyFleet names the version that it
// was made from: one of two with the same base wins, and versions only rise.
//
// # Claims
//
// A request that runs at most once is claimed before it is sent. Only the
// attempt whose OpenClaim is Granted may send it, once, while its session's
// lease is live. The claim ends with FinishClaim, CancelClaim or MarkClaimInDoubt; if
// the session closes first it is in doubt. A claim in doubt is never granted
// again: its dispatcher's late FinishClaim or an operator's SettleClaim ends
// the doubt. A cancelled claim was never sent and may be opened again.
//
//	          OpenClaim            FinishClaim
//	(none) ─────────────▶ Open ───────────────────▶ Done
//	   ▲                  │  │                        ▲
//	   │ ExpireClaims     │  │ MarkClaimInDoubt,            │ late FinishClaim
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
//		err = result.Err() // nil, or one for errors.Is
//	}
//
// A host follows the views:
//
//	changed := machine.Changed()
//	delta := machine.EncodedDeltaSince(view.Revision, view.FleetVersion)
//	...
//	decoded, err := registry.DecodeDelta(delta)
//	view, err = decoded.Apply(view)
//	<-changed
//
// The leader keeps the leases:
//
//	leases := registry.NewLeases(registry.WithLeaseDuration(3 * time.Second))
//	leases.Elected(now) // once in each term, after a barrier
//	leases.Follow(machine.View(), now)
//	if leases.Renew(session, now) && stillLeads() { ... }
//	for _, session := range leases.Expired(now) {
//		propose(registry.CloseSession{Session: session, Reason: registry.CloseExpired, Term: term})
//	}
package registry
