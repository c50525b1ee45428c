package host

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
)

// identityTimeout bounds the query for the identity of a new replica.
const identityTimeout = 5 * time.Second

// memberChanger changes the members of the state replicas on the leader's host. Other hosts
// send operators' requests to it.
type memberChanger struct {
	host *Host
}

// handle makes the change and replies. It returns after the change.
func (c *memberChanger) handle(request peer.MemberChangeRequest, reply peer.Reply) {
	if c.host.state == nil {
		reply(peer.MemberChangeResponse{Code: peer.CodeNotReplica})
		return
	}
	if !c.host.state.replica.Leadership().IsLeader {
		reply(peer.MemberChangeResponse{Code: peer.CodeNotLeader, Leader: c.host.state.LeaderAddress()})
		return
	}
	ctx, cancel := clockwork.WithTimeout(context.Background(), c.host.Clock, replicaChangeTimeout)
	defer cancel()
	response := c.change(ctx, request)
	response.Leader = c.host.state.LeaderAddress()
	if response.Code != peer.CodeDone {
		c.host.log.WithFields(map[string]any{"Change": request.Change, "Replica": request.ID, "Address": request.Address, "Code": response.Code}).
			Warnf("The change of a state replica ended with %s: %s", response.Code, response.Message)
	}
	reply(response)
}

func (c *memberChanger) change(ctx context.Context, request peer.MemberChangeRequest) peer.MemberChangeResponse {
	if request.Change == peer.MemberRemove {
		return c.remove(ctx, request.ID)
	}
	member, failure := c.identify(ctx, request.Address)
	if failure.Code != "" {
		return failure
	}
	replica := c.host.state.replica
	if request.Change == peer.MemberAdd {
		if err := replica.Admit(ctx, member); err != nil {
			return memberChangeFailure(err)
		}
		return peer.MemberChangeResponse{Code: peer.CodeDone, Message: fmt.Sprintf("Replica %s on host %s has a vote.", member.ID, member.Host)}
	}
	if err := replica.Replace(ctx, request.ID, member); err != nil {
		return memberChangeFailure(err)
	}
	return peer.MemberChangeResponse{Code: peer.CodeDone, Message: fmt.Sprintf(
		"Replica %s on host %s replaces %s. The loss of any other one is survivable now.", member.ID, member.Host, request.ID,
	)}
}

func (c *memberChanger) remove(ctx context.Context, id string) peer.MemberChangeResponse {
	if !c.isMember(id) {
		return peer.MemberChangeResponse{Code: peer.CodeUnknownMember, Message: "there is no replica " + id + "; status shows their identities"}
	}
	if err := c.host.state.replica.Remove(ctx, id); err != nil {
		return memberChangeFailure(err)
	}
	return peer.MemberChangeResponse{Code: peer.CodeDone, Message: c.removalMessage(id)}
}

// memberChangeFailure tells whether the next leader can go on with the change.
func memberChangeFailure(err error) peer.MemberChangeResponse {
	for _, lostLead := range []error{
		quorum.ErrNotLeader, quorum.ErrUnknownOutcome, quorum.ErrStopped, quorum.ErrQueueFull,
		context.DeadlineExceeded, context.Canceled,
	} {
		if errors.Is(err, lostLead) {
			// Steps before the one that failed may have been made.
			return peer.MemberChangeResponse{Code: peer.CodeUnknown, Message: err.Error()}
		}
	}
	return peer.MemberChangeResponse{Code: peer.CodeRejected, Message: err.Error()}
}

func (c *memberChanger) isMember(id string) bool {
	for _, member := range c.host.state.replica.Status().Members {
		if member.ID == id {
			return true
		}
	}
	return false
}

// removalMessage describes the result of a removal and whether the cluster
// tolerates the loss of another replica.
func (c *memberChanger) removalMessage(id string) string {
	voters := 0
	for _, member := range c.host.state.replica.Status().Members {
		if member.Voter && member.ID != id {
			voters++
		}
	}
	const minFaultTolerantVoters = 3
	if voters < minFaultTolerantVoters {
		return fmt.Sprintf("Replica %s is removed. Only %d have a vote: the loss of one stops all changes.", id, voters)
	}
	return fmt.Sprintf("Replica %s is removed; %d have a vote.", id, voters)
}

// identify queries the identity of the replica at an address. Code is empty in the
// response if it is known.
func (c *memberChanger) identify(ctx context.Context, address string) (quorum.Member, peer.MemberChangeResponse) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.host.Clock, identityTimeout)
	defer cancel()
	reply, err := c.host.node.Call(ctx, address, peer.IdentityRequest{})
	if err != nil {
		return quorum.Member{}, peer.MemberChangeResponse{Code: peer.CodeUnreachable, Message: err.Error()}
	}
	identity, ok := reply.(peer.IdentityResponse)
	if !ok || identity.ID == "" {
		return quorum.Member{}, peer.MemberChangeResponse{Code: peer.CodeNoReplicaAtAddress, Message: "the host at " + address + " has no state replica"}
	}
	return quorum.Member{ID: identity.ID, Host: identity.Host, Address: address, Voter: true}, peer.MemberChangeResponse{}
}
