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

// listeningTime is the time in which a leader would have heard of its voters. The zero value is
// that of a replica that doesn't lead.
type listeningTime struct {
	// since is when it became leader or last stood still, until when it was last known to run.
	since, until time.Time
}

// extend returns the time extended until now. It starts anew after a gap longer than maxGap:
// the process stood still, and messages from then may still wait to be read.
func (l listeningTime) extend(now time.Time, maxGap time.Duration) listeningTime {
	if l.since.IsZero() || now.Sub(l.until) > maxGap {
		l.since = now
	}
	l.until = now
	return l
}

// silence returns how long the leader has listened without hearing of a member whose last
// message arrived at lastContact.
func (l listeningTime) silence(lastContact time.Time) time.Duration {
	if lastContact.Before(l.since) {
		lastContact = l.since
	}
	return l.until.Sub(lastContact)
}

// LongestSilentVoter returns the ID of the voter that has been silent for longer than
// voterLostAfter and should be replaced first: one that is known to be lost, or else the one
// that was heard of last the longest time ago. It returns "" if there is none.
//
// A voter that hubs report as silent may have been silent since before this leader listened. It
// is replaced if the leader hasn't heard of it at all, for confirmedSilence.
//
// Load: two voters are gone for good, and a third one stands still for seconds before they are
// replaced. Once it resumes, two more may lose their disks.
func LongestSilentVoter(status quorum.Status, listening listeningTime, knownLost, reported map[string]bool) string {
	var longest quorum.MemberStatus
	for _, member := range status.Members {
		required := voterLostAfter
		if reported[member.ID] && !member.LastContact.After(listening.since) {
			required = confirmedSilence
		}
		if !member.Voter || member.ID == status.ID || listening.silence(member.LastContact) <= required {
			continue
		}
		isLost, longestIsLost := knownLost[member.ID], knownLost[longest.ID]
		if longest.ID == "" || isLost && !longestIsLost || isLost == longestIsLost && member.LastContact.Before(longest.LastContact) {
			longest = member
		}
	}
	return longest.ID
}
