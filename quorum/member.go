package quorum

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"slices"

	"github.com/go-faster/errors"
)

// idBytes is the length of a replica's or cluster's random ID.
const idBytes = 8

// Member is one replica of a cluster. Learners receive the log and have no
// vote.
type Member struct {
	ID string
	// Host is the name of the host that holds the disk.
	Host string
	// Address is where the replica is reached.
	Address string
	Voter   bool
}

// NewID returns a random ID for a replica or a cluster.
func NewID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// findMember returns the position of a replica, or -1.
func findMember(members []Member, id string) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// isVoter tells whether the replica has a vote.
func isVoter(members []Member, id string) bool {
	at := findMember(members, id)
	return at >= 0 && members[at].Voter
}

// voterCount counts the members with a vote.
func voterCount(members []Member) int {
	count := 0
	for _, m := range members {
		if m.Voter {
			count++
		}
	}
	return count
}

// majority is the number of voters that decide.
func majority(members []Member) int {
	return voterCount(members)/2 + 1
}

// sortedMembers returns a copy in the order of the IDs.
func sortedMembers(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// checkChange returns an error unless next differs from current in one replica
// and keeps at least one voter.
func checkChange(current, next []Member) error {
	if voterCount(next) == 0 {
		return errors.Wrap(ErrInvalidMembershipChange, "no voter would be left")
	}
	changed := 0
	for i, m := range next {
		if m.ID == "" || findMember(next[:i], m.ID) >= 0 {
			return errors.Wrapf(ErrInvalidMembershipChange, "empty or repeated ID %q", m.ID)
		}
		at := findMember(current, m.ID)
		if at < 0 || current[at] != m {
			changed++
		}
	}
	for _, m := range current {
		if findMember(next, m.ID) < 0 {
			changed++
		}
	}
	if changed > 1 {
		return errors.Wrapf(ErrInvalidMembershipChange, "%d replicas differ", changed)
	}
	return nil
}
