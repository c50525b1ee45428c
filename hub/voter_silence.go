package hub

import (
	"time"

	"comfreytiller.dev/quorum"
)

// IsResponsive reports whether a member has been heard of within the time before now. A member
// that holds all that is committed may have stopped since.
func IsResponsive(status quorum.Status, id string, now time.Time, within time.Duration) bool {
	for _, member := range status.Members {
		if member.ID == id {
			return now.Sub(member.LastContact) <= within
		}
	}
	return false
}
