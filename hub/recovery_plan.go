package hub

import (
	"fmt"
	"maps"
	"slices"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
)

// RecoveryPlan tells without which voters the others may elect a leader.
type RecoveryPlan struct {
	// Lost are the lost voters; empty if a majority may be left or the election is not allowed.
	Lost []quorum.LostVoter
	// Obstacle is the reason why the election is not allowed although no majority is left;
	// empty if it is.
	Obstacle string
}

// PlanRecovery returns the plan that follows from the replicas that respond at the addresses
// of the other hubs, by address. They must have responded after the status was taken.
//
// A voter is lost if another replica of its host responds at its address: a replica keeps its
// ID as long as its disk. One that doesn't respond is not lost. A replica that has no vote
// here but more of the log, or that can't be asked, may belong to a majority that has
// replaced this one.
//
// Load: a hub that is cut off, stands still or was replaced sees others start with empty disks;
// two disks are lost while all hubs restart, and a third one before a leader is elected.
func PlanRecovery(status quorum.Status, responses map[string]peer.IdentityResponse) RecoveryPlan {
	isVoter, isLost := map[string]bool{}, map[string]bool{}
	for _, voter := range status.PossibleVoters {
		isVoter[voter.ID] = true
		if isReplaced(voter, responses) {
			isLost[voter.ID] = true
		}
	}
	voters, remaining := 0, 0
	for _, member := range status.Members {
		if member.Voter {
			voters++
			if !isLost[member.ID] {
				remaining++
			}
		}
	}
	if voters == 0 || remaining > voters/2 {
		return RecoveryPlan{}
	}
	for _, member := range status.Members {
		_, responds := responses[member.Address]
		if !isVoter[member.ID] && member.ID != status.ID && !responds {
			return RecoveryPlan{Obstacle: fmt.Sprintf("learner %s of host %s doesn't respond", member.ID, member.Host)}
		}
	}
	for _, address := range slices.Sorted(maps.Keys(responses)) {
		response := responses[address]
		switch {
		case isVoter[response.ID] || response.Cluster == "":
		case response.LastTerm == 0 && !isMember(status, response.ID):
			return RecoveryPlan{Obstacle: fmt.Sprintf("replica %s at %s is of a cluster, but doesn't tell what it has of the log", response.ID, address)}
		case response.Cluster != status.Cluster:
			return RecoveryPlan{Obstacle: fmt.Sprintf("replica %s at %s belongs to cluster %s", response.ID, address, response.Cluster)}
		case response.LastTerm > status.LastTerm || response.LastTerm == status.LastTerm && response.LastIndex > status.LastIndex:
			return RecoveryPlan{Obstacle: fmt.Sprintf("replica %s at %s has no vote and more of the log", response.ID, address)}
		}
	}
	plan := RecoveryPlan{}
	for _, voter := range status.PossibleVoters {
		if isLost[voter.ID] {
			successor := quorum.Member{ID: responses[voter.Address].ID, Host: voter.Host, Address: voter.Address}
			plan.Lost = append(plan.Lost, quorum.LostVoter{ID: voter.ID, Successor: successor})
		}
	}
	return plan
}

func isMember(status quorum.Status, id string) bool {
	return slices.ContainsFunc(status.Members, func(m quorum.MemberStatus) bool { return m.ID == id })
}

// isReplaced reports whether another replica of the member's host responds at its address.
func isReplaced(member quorum.Member, responses map[string]peer.IdentityResponse) bool {
	response := responses[member.Address]
	return response.ID != "" && response.ID != member.ID && response.Host == member.Host
}
