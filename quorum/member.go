package quorum

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"slices"

	"github.com/go-faster/errors"
)

// idBytes is the length of a random replica or cluster ID in bytes.
const idBytes = 8

// Member is one replica of a cluster. Learners receive the log but have no
// vote.
type Member struct {
	ID string
	// Host is the name of the host that stores the replica.
	Host string
	// Address is the network address of the replica.
	Address string
	Voter   bool
}

// NewID returns a random ID for a replica or a cluster.
func NewID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// findMember returns the position of the replica in members, or -1.
func findMember(members []Member, id string) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// isVoter reports whether the replica is a voter.
func isVoter(members []Member, id string) bool {
	at := findMember(members, id)
	return at >= 0 && members[at].Voter
}

func voterCount(members []Member) int {
	count := 0
	for _, m := range members {
		if m.Voter {
			count++
		}
	}
	return count
}

// majority returns the number of voters that form a majority.
func majority(members []Member) int {
	return voterCount(members)/2 + 1
}

// sortedMembers returns a copy sorted by ID.
func sortedMembers(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// validateMembershipChange returns ErrInvalidMembershipChange unless next
// differs from current in at most one replica and keeps at least one voter.
func validateMembershipChange(current, next []Member) error {
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
