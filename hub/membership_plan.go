package hub

import (
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
)

// Step is a kind of membership change.
type Step string

// Kinds of membership changes.
const (
	// StepNone: the replica is a voter already, or a learner that waits.
	StepNone Step = "None"
	// StepAdmit: the cluster has too few voters; the replica becomes one.
	StepAdmit Step = "Admit"
	// StepReplace: the replica replaces a lost voter.
	StepReplace Step = "Replace"
	// StepAddLearner: the cluster has enough voters; the replica becomes a
	// learner.
	StepAddLearner Step = "Learn"
)

// MembershipChange is the outcome of a join request.
type MembershipChange struct {
	Step Step
	// Replaced is the ID of the voter that is replaced.
	Replaced string
}

// PlanMembership returns the membership change for a join request.
//
// A new replica on the host of a voter means that the host lost its disk. It
// replaces that voter at once, since a wiped replica never votes again. Any
// other replica becomes a voter while there are too few, or when one of them is
// lost. Otherwise it becomes a learner, so that it is caught up when a voter is
// needed.
func PlanMembership(status quorum.Status, request joinRequest, desiredVoters int, lostVoter string) MembershipChange {
	var voterCount int
	var isLearner bool
	for _, member := range status.Members {
		if member.Voter {
			voterCount++
		}
		switch {
		case member.ID == request.ID && member.Voter:
			return MembershipChange{Step: StepNone}
		case member.ID == request.ID:
			isLearner = true
		case member.Host == request.Host && member.Voter:
			return MembershipChange{Step: StepReplace, Replaced: member.ID}
		}
	}
	switch {
	case voterCount < desiredVoters:
		return MembershipChange{Step: StepAdmit}
	case lostVoter != "":
		return MembershipChange{Step: StepReplace, Replaced: lostVoter}
	case isLearner:
		return MembershipChange{Step: StepNone}
	}
	return MembershipChange{Step: StepAddLearner}
}

// NextStep returns the step of a planned change that can be taken now. A replica first becomes
// a learner, and votes once it holds all that is committed: until then it would not help a
// majority, and other replicas would wait for it. StepNone means to wait.
func NextStep(status quorum.Status, planned MembershipChange, id string) MembershipChange {
	if planned.Step == StepNone || planned.Step == StepAddLearner {
		return planned
	}
	for _, member := range status.Members {
		if member.ID != id {
			continue
		}
		if member.MatchIndex < status.CommitIndex {
			return MembershipChange{Step: StepNone}
		}
		return planned
	}
	return MembershipChange{Step: StepAddLearner}
}

// SupersededLearner returns the ID of a learner whose address another replica uses in its join
// request, so that the learner's disk is gone; "" for none. It would keep the other one
// from being admitted.
func SupersededLearner(status quorum.Status, requests []joinRequest) string {
	for _, member := range status.Members {
		for _, request := range requests {
			if !member.Voter && member.Address == request.Address && member.ID != request.ID {
				return member.ID
			}
		}
	}
	return ""
}

// LostVoters returns the IDs of the voters whose address the sender of a join request
// uses under another ID. An address belongs to one process, and a replica keeps its ID
// as long as its disk, so these voters never respond again.
func LostVoters(status quorum.Status, request peer.JoinRequest) []string {
	var lost []string
	for _, member := range status.Members {
		if member.Voter && member.Address == request.Address && member.ID != request.ID {
			lost = append(lost, member.ID)
		}
	}
	return lost
}

// SurplusVoter returns the ID of a voter to remove: one whose host has another
// voter with a later contact, or a lost one if there are more than the desired
// number of voters. This completes a replacement that was interrupted after the
// new replica had become a voter; until then the quorum size includes a voter
// whose disk is gone.
func SurplusVoter(status quorum.Status, desiredVoters int, lostVoter string) string {
	voterCount := 0
	for _, member := range status.Members {
		if !member.Voter {
			continue
		}
		voterCount++
		for _, other := range status.Members {
			sameHost := other.Voter && other.Host == member.Host && other.ID != member.ID
			if sameHost && member.ID != status.ID && (other.ID == status.ID || other.LastContact.After(member.LastContact)) {
				return member.ID
			}
		}
	}
	if voterCount > desiredVoters {
		return lostVoter
	}
	return ""
}
