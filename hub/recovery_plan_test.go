package hub

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
)

// recoveryStatus returns the status of replica a in a cluster of the voters a to e, at
// addresses of the same names.
func recoveryStatus() quorum.Status {
	status := quorum.Status{ID: "a", Cluster: "c", LastTerm: 3, LastIndex: 9}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		member := quorum.Member{ID: id, Host: "h-" + id, Address: id, Voter: true}
		status.Members = append(status.Members, quorum.MemberStatus{Member: member})
		status.PossibleVoters = append(status.PossibleVoters, member)
	}
	return status
}

// Three of five disks are lost in a row, and a voter is silent, cut off, comes back with its
// disk, or has been replaced by a majority that the others can't know.
func TestPlanRecovery(t *testing.T) {
	own := func(id string) peer.IdentityResponse {
		return peer.IdentityResponse{ID: id, Host: "h-" + id, Cluster: "c", LastTerm: 3, LastIndex: 9}
	}
	blank := func(id string) peer.IdentityResponse { return peer.IdentityResponse{ID: "new-" + id, Host: "h-" + id} }
	replies := func(b, c, d, e peer.IdentityResponse) map[string]peer.IdentityResponse {
		return map[string]peer.IdentityResponse{"b": b, "c": c, "d": d, "e": e}
	}
	lost := replies(own("b"), blank("c"), blank("d"), blank("e"))
	for name, test := range map[string]struct {
		change    func(status *quorum.Status)
		responses map[string]peer.IdentityResponse
		lost      []string
		obstacle  string
	}{
		"two lost leave a majority":     {responses: replies(own("b"), own("c"), blank("d"), blank("e"))},
		"three lost":                    {responses: lost, lost: []string{"c", "d", "e"}},
		"the other voter doesn't reply": {responses: map[string]peer.IdentityResponse{"c": blank("c"), "d": blank("d"), "e": blank("e")}, lost: []string{"c", "d", "e"}},
		"a voter is silent":             {responses: map[string]peer.IdentityResponse{"b": own("b"), "d": blank("d"), "e": blank("e")}},
		"another host uses the address": {responses: replies(own("b"), peer.IdentityResponse{ID: "f", Host: "h-f"}, blank("d"), blank("e"))},
		"a host without a replica":      {responses: replies(own("b"), peer.IdentityResponse{Host: "h-c"}, blank("d"), blank("e"))},
		"a successor is a learner": {
			responses: replies(own("b"), peer.IdentityResponse{ID: "new-c", Host: "h-c", Cluster: "c", LastTerm: 2, LastIndex: 9}, blank("d"), blank("e")),
			lost:      []string{"c", "d", "e"},
		},
		"a successor knows more": {
			responses: replies(own("b"), peer.IdentityResponse{ID: "new-c", Host: "h-c", Cluster: "c", LastTerm: 3, LastIndex: 10}, blank("d"), blank("e")),
			obstacle:  "replica new-c at c has no vote and more of the log",
		},
		"a successor belongs to another cluster": {
			responses: replies(own("b"), peer.IdentityResponse{ID: "new-c", Host: "h-c", Cluster: "other", LastTerm: 1, LastIndex: 1}, blank("d"), blank("e")),
			obstacle:  "replica new-c at c belongs to cluster other",
		},
		"successors of an earlier release": {
			responses: replies(own("b"), peer.IdentityResponse{ID: "new-c", Host: "h-c", Cluster: "c"}, peer.IdentityResponse{ID: "new-d", Host: "h-d", Cluster: "c"}, blank("e")),
			obstacle:  "replica new-c at c is of a cluster, but doesn't tell what it has of the log",
		},
		"a learner is silent": {
			change: func(status *quorum.Status) {
				status.Members = append(status.Members, quorum.MemberStatus{Member: quorum.Member{ID: "l", Host: "h-l", Address: "l"}})
			},
			responses: lost,
			obstacle:  "learner l of host h-l doesn't respond",
		},
		"a voter that may have been removed": {
			change: func(status *quorum.Status) {
				status.Members = status.Members[:4]
			},
			responses: lost,
			lost:      []string{"c", "d", "e"},
		},
		"no membership yet": {
			change:    func(status *quorum.Status) { *status = quorum.Status{ID: "a"} },
			responses: lost,
		},
	} {
		t.Run(name, func(t *testing.T) {
			status := recoveryStatus()
			if test.change != nil {
				test.change(&status)
			}
			plan := PlanRecovery(status, test.responses)
			var lost []string
			for _, voter := range plan.Lost {
				lost = append(lost, voter.ID)
				require.Equal(t, quorum.Member{ID: "new-" + voter.ID, Host: "h-" + voter.ID, Address: voter.ID}, voter.Successor)
			}
			require.Equal(t, test.lost, lost)
			require.Equal(t, test.obstacle, plan.Obstacle)
		})
	}
}
