// Package registry is the replicated state machine of the fleet: fleet texts,
// outages, host sessions, owners of services, claims and placement orders.
//
// The machine is deterministic: the same commands in the same order give the
// same state and the same snapshot, byte for byte. It reads no clock; times
// arrive in commands.
package registry
