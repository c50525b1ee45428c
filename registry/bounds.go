package registry

import "time"

// MaxClockSkew is how far the state's clock may be ahead of the leader's.
const MaxClockSkew = time.Hour

// Bounds of the replicated state.
const (
	// MaxIdentifierBytes is the length of the longest name or identifier.
	MaxIdentifierBytes = 128
	// MaxClaimKeyBytes is the length of the longest key of a claim.
	MaxClaimKeyBytes = 256
	// MaxNoteBytes is the length of the longest note.
	MaxNoteBytes = 1 << 10
	// MaxResponseBytes is the size of the largest answer body that is stored.
	MaxResponseBytes = 64 << 10
	// MaxStoredResponseBytes bounds the bodies of all stored answers together;
	// the oldest are dropped beyond it.
	MaxStoredResponseBytes = 64 << 20
	// MaxOperations is the number of operators' commands whose answers are
	// remembered; the oldest is forgotten beyond it.
	MaxOperations = 8192
	// MaxSessions bounds the open and closing sessions.
	MaxSessions = 4096
	// MaxTargetsOut bounds the targets that are out, and the pins.
	MaxTargetsOut = 20_000
	// MaxClaims bounds the claims.
	MaxClaims = 1_000_000
	// MaxResultFaults bounds the faults in a Result, which is remembered. To see
	// all of them, parse the text.
	MaxResultFaults = 16
	// maxListedServices bounds the services that a refusal names.
	maxListedServices = 10
	// MaxOrders bounds the targets that have an order.
	MaxOrders = 20_000
)

func validIdentifier(identifier string) bool {
	return identifier != "" && len(identifier) <= MaxIdentifierBytes
}
