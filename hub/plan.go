package hub

import (
	"comfreytiller.dev/quorum"
)

// Step is one change of the membership.
type Step string

// The steps.
const (
	// StepNone: the replica has its place, or waits for one.
	StepNone Step = "None"
	// StepAdmit: the cluster has too few voters; the replica becomes one.
	StepAdmit Step = "Admit"
	// StepReplace: the replica takes the place of a voter that is lost.
	StepReplace Step = "Replace"
	// StepAddLearner: all places are taken; the replica follows without a vote.
	StepAddLearner Step = "Learn"
)

// MembershipChange is what a wish for a place leads to.
type MembershipChange struct {
	Step Step
	// Replaced is the voter whose place is taken.
	Replaced string
}

// PlanMembership decides what becomes of a replica that asks for a place.
//
// A replica of a host that has another one lost that one's disk: it takes its
// place at once, since a wiped disk never votes again. Otherwise places are
// given while there are too few voters, or when one of them is lost; a replica
// beyond them waits as a learner, so that it is caught up when it is needed.
func PlanMembership(status quorum.Status, wanted wish, voters int, lost string) MembershipChange {
	var have int
	var learns bool
	for _, member := range status.Members {
		if member.Voter {
			have++
		}
		switch {
		case member.ID == wanted.ID && member.Voter:
			return MembershipChange{Step: StepNone}
		case member.ID == wanted.ID:
			learns = true
		case member.Host == wanted.Host && member.Voter:
			return MembershipChange{Step: StepReplace, Replaced: member.ID}
		}
	}
	switch {
	case have < voters:
		return MembershipChange{Step: StepAdmit}
	case lost != "":
		return MembershipChange{Step: StepReplace, Replaced: lost}
	case learns:
		return MembershipChange{Step: StepNone}
	}
	return MembershipChange{Step: StepAddLearner}
}

// SurplusVoter returns a voter that is to go: one whose host has another replica that
// was heard later, or, beyond the number of voters, one that is lost. It finishes
// a replacement that was cut short after the new replica had got its vote; until
// then the cluster needs the votes of a disk that is gone.
func SurplusVoter(status quorum.Status, voters int, lost string) string {
	have := 0
	for _, member := range status.Members {
		if !member.Voter {
			continue
		}
		have++
		for _, other := range status.Members {
			twin := other.Voter && other.Host == member.Host && other.ID != member.ID
			if twin && member.ID != status.ID && (other.ID == status.ID || other.LastContact.After(member.LastContact)) {
				return member.ID
			}
		}
	}
	if have > voters {
		return lost
	}
	return ""
}
