package session

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
)

// memberChangeAttemptTimeout bounds one request for a change of members, which the leader
// goes on with when it is repeated.
const memberChangeAttemptTimeout = 20 * time.Second

// ChangeMembers asks the leader for a change of the members of the state replicas, and
// the next leader if it loses the lead, until ctx ends. The error wraps
// ErrUnknownOutcome if the change may have been made in part, and ErrNoLeader if no leader
// was found. A change that the leader rejects is a response with its code.
func (c *Client) ChangeMembers(ctx context.Context, request peer.MemberChangeRequest) (peer.MemberChangeResponse, error) {
	outcomeUnknown := false
	for {
		response, err := c.changeMembersOnce(ctx, request)
		if err == nil {
			if outcomeUnknown && request.Change == peer.MemberRemove && response.Code == peer.CodeUnknownMember {
				return peer.MemberChangeResponse{Code: peer.CodeDone, Message: "Replica " + request.ID + " is removed."}, nil
			}
			return response, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, ErrUnknownOutcome)
		if ctx.Err() != nil {
			if outcomeUnknown && !errors.Is(err, ErrUnknownOutcome) {
				return peer.MemberChangeResponse{}, errors.Wrapf(ErrUnknownOutcome, "%v", err)
			}
			return peer.MemberChangeResponse{}, err
		}
		c.waitBackoff(ctx)
	}
}

// changeMembersOnce sends the request to one replica. It returns ErrNoLeader if the change
// has not begun there, and ErrUnknownOutcome if it may have.
func (c *Client) changeMembersOnce(ctx context.Context, request peer.MemberChangeRequest) (peer.MemberChangeResponse, error) {
	c.mu.Lock()
	address := c.currentAddress()
	c.mu.Unlock()
	ctx, cancel := clockwork.WithTimeout(ctx, c.config.Clock, memberChangeAttemptTimeout)
	defer cancel()
	reply, err := c.peerClient.Call(ctx, address, request)
	if err != nil {
		c.switchReplica(address, "")
		return peer.MemberChangeResponse{}, errors.Wrapf(ErrUnknownOutcome, "change members at %s: %v", address, err)
	}
	response, ok := reply.(peer.MemberChangeResponse)
	if !ok {
		c.switchReplica(address, "")
		return peer.MemberChangeResponse{}, errors.Wrapf(ErrUnknownOutcome, "change members at %s: answer of type %T", address, reply)
	}
	switch response.Code {
	case peer.CodeNotLeader, peer.CodeNotReplica:
		c.switchReplica(address, response.Leader)
		return peer.MemberChangeResponse{}, errors.Wrapf(ErrNoLeader, "change members at %s: %s", address, response.Code)
	case peer.CodeUnknown:
		c.switchReplica(address, response.Leader)
		return peer.MemberChangeResponse{}, errors.Wrapf(ErrUnknownOutcome, "change members at %s: %s", address, response.Message)
	}
	return response, nil
}
