package hub

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
)

const (
	// successorInterval is the interval between two requests to the addresses of silent voters.
	successorInterval = 500 * time.Millisecond
	// voterQuietAfter is how long a voter must be silent before the replica at its address is
	// asked for its identity.
	voterQuietAfter = time.Second
)

// findSuccessors asks the replicas at the addresses of silent voters for their identities, at
// intervals, and records a join request for each that isn't the voter's. A host that lost
// its disk knows only the replicas of its settings, which may be gone.
func (m *membershipManager) findSuccessors(ctx context.Context) {
	now := m.hub.Clock.Now()
	if now.Sub(m.successorsSoughtAt) < successorInterval {
		return
	}
	m.successorsSoughtAt = now
	for _, member := range m.silence.silentMembers(voterQuietAfter) {
		go m.findSuccessor(ctx, member.ID, member.Host, member.Address)
	}
}

// findSuccessor records a join request for the replica at a voter's address, unless it is the
// voter's.
func (m *membershipManager) findSuccessor(ctx context.Context, id, host, address string) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.hub.Clock, identityTimeout)
	defer cancel()
	present, err := m.identify(ctx, address)
	switch {
	case err != nil:
		m.hub.log.WithError(err).Debugf("Silent voter %s of host %s doesn't tell its identity.", id, host)
	case present.ID != "" && present.ID != id && present.Host == host:
		m.recordJoin(peer.JoinRequest{ID: present.ID, Host: host, Address: address})
	}
}
