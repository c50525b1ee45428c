package registry

import "time"

// MaxClockSkew is how far the state's clock may be ahead of the leader's clock
// before ExpireClaims resets it.
const MaxClockSkew = time.Hour

// Limits of the replicated state.
const (
	// MaxIdentifierBytes is the maximum length of a name or identifier.
	MaxIdentifierBytes = 128
	// MaxClaimKeyBytes is the maximum length of a claim key.
	MaxClaimKeyBytes = 256
	// MaxNoteBytes is the maximum length of the note of a settled claim.
	MaxNoteBytes = 1 << 10
	// MaxResponseBytes is the maximum size of a response body that is stored.
	MaxResponseBytes = 64 << 10
	// MaxStoredResponseBytes limits the total size of all stored response
	// bodies; the oldest are dropped beyond it.
	MaxStoredResponseBytes = 64 << 20
	// MaxOperations is the number of operator commands whose results are kept;
	// the oldest is dropped beyond it.
	MaxOperations = 8192
	// MaxSessions is the maximum number of open and closing sessions.
	MaxSessions = 4096
	// MaxTargetsOut is the maximum number of targets that are out of service,
	// and of pins.
	MaxTargetsOut = 20_000
	// MaxClaims is the maximum number of claims.
	MaxClaims = 1_000_000
	// MaxResultFaults is the maximum number of configuration faults in a Result,
	// which is stored. Parse the configuration to get all of them.
	MaxResultFaults = 16
	// maxListedServices is the maximum number of services named in the detail of
	// a refused command.
	maxListedServices = 10
	// MaxVersionBytes is the maximum length of a software version in a rollout.
	MaxVersionBytes = 256
	// MaxRolloutDuration is the maximum time from the order of a rollout to its deadline.
	MaxRolloutDuration = 24 * time.Hour
	// MaxRollouts is the maximum number of services that ever had a rollout.
	MaxRollouts = 10_000
	// MaxRevertedVersions is the number of versions that a service remembers as reverted,
	// beside that of its last rollout.
	MaxRevertedVersions = 16
	// MaxOrders is the maximum number of targets that have an order.
	MaxOrders = 20_000
)

func validIdentifier(identifier string) bool {
	return identifier != "" && len(identifier) <= MaxIdentifierBytes
}
