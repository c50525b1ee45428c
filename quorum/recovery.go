package quorum

import (
	"maps"
	"slices"
)

// recoveryTermStep is the minimum number of terms by which a recovery raises the term; up to
// as many again are added at random. The lost voters may have started terms among themselves,
// or recovered before, without the others, and messages of these terms may still arrive.
const recoveryTermStep = 1 << 20

// LostVoter is a voter whose disk is gone.
type LostVoter struct {
	ID string
	// Successor is the new replica at the voter's address; after a recovery it is a learner,
	// so that the leader can reach it.
	Successor Member
}

// recovery is a campaign without the voters whose disks are lost, for a cluster that has no
// majority any more. It needs the vote of every other voter.
type recovery struct {
	// term is the term of the campaign.
	term uint64
	// lost are the IDs of the lost voters, sorted.
	lost []string
	// successors are the new replicas at the addresses of the lost voters.
	successors []Member
	// remaining are the other voters of each membership that may be in force.
	remaining []Member
}

// AllowRecovery replaces the set of voters that are proved to be lost: their disks are gone,
// so that they never respond again, and no replica at their addresses belongs to a cluster
// that this node doesn't know. If they leave no majority, the remaining voters elect a
// leader once all of them agree, and the lost ones are removed. Entries that only lost
// voters held are lost as well. An empty set forbids it.
func (n *Node) AllowRecovery(lost []LostVoter) {
	proved := make(map[string]Member, len(lost))
	for _, voter := range lost {
		proved[voter.ID] = voter.Successor
	}
	if maps.Equal(proved, n.provedLost) {
		return
	}
	n.provedLost = proved
	if n.role != Leader && n.recovery != nil {
		n.StepDown()
	}
}

// newRecovery returns the recovery that the lost voters call for; nil if the others are a
// majority, or if this node is one of the lost.
func (n *Node) newRecovery() *recovery {
	if len(n.provedLost) == 0 || n.isProvedLost(n.state.ID) {
		return nil
	}
	present := 0
	for _, m := range n.log.members() {
		if m.Voter && !n.isProvedLost(m.ID) {
			present++
		}
	}
	if present >= majority(n.log.members()) {
		return nil
	}
	r := &recovery{term: n.state.Term + recoveryTermStep + n.random.Uint64N(recoveryTermStep)}
	for _, m := range n.log.possibleVoters() {
		if successor, isLost := n.provedLost[m.ID]; isLost {
			successor.Voter = false
			r.lost, r.successors = append(r.lost, m.ID), append(r.successors, successor)
		} else {
			r.remaining = append(r.remaining, m)
		}
	}
	slices.Sort(r.lost)
	return r
}

// RecoveredWithout returns the lost voters without which this leader was elected; nil if it
// was elected by a majority, or is no leader.
func (n *Node) RecoveredWithout() []string {
	if n.role != Leader || n.recovery == nil {
		return nil
	}
	return n.recovery.lost
}

// agreesToRecovery reports whether this node has the proof that all of the voters are lost.
func (n *Node) agreesToRecovery(lost []string) bool {
	return !slices.ContainsFunc(lost, func(id string) bool { return !n.isProvedLost(id) })
}

// isProvedLost reports whether a recovery may do without the voter.
func (n *Node) isProvedLost(id string) bool {
	_, isLost := n.provedLost[id]
	return isLost
}

// members returns the membership after the recovery: the voters that agreed to it, and as
// learners those of before and the successors of the lost voters.
func (r *recovery) members(latest []Member) []Member {
	members := slices.Clone(r.remaining)
	for _, m := range append(slices.Clone(latest), r.successors...) {
		if findMember(members, m.ID) < 0 && !slices.Contains(r.lost, m.ID) {
			members = append(members, m)
		}
	}
	return sortedMembers(members)
}

// possibleVoters returns the voters of the memberships that may be in force: the one at the
// commit index and those after it.
func (l *entryLog) possibleVoters() []Member {
	var voters []Member
	for i, set := range l.memberSets {
		if i+1 < len(l.memberSets) && l.memberSets[i+1].index <= l.committed {
			continue
		}
		for _, m := range set.members {
			if m.Voter && findMember(voters, m.ID) < 0 {
				voters = append(voters, m)
			}
		}
	}
	return voters
}
