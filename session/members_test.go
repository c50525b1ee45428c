package session

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
)

// memberReplicas replies to changes of members: each call takes the next reply of its
// address.
type memberReplicas struct {
	*fakeReplicas
	replies map[string][]peer.Message
	asked   []string
}

func (r *memberReplicas) Call(_ context.Context, address string, _ peer.Message) (peer.Message, error) {
	r.asked = append(r.asked, address)
	if len(r.replies[address]) == 0 {
		return nil, errDown
	}
	reply := r.replies[address][0]
	r.replies[address] = r.replies[address][1:]
	return reply, nil
}

// changeMembers runs the request over the replies and returns the addresses that were asked.
func changeMembers(t *testing.T, request peer.MemberChangeRequest, replies map[string][]peer.Message) (peer.MemberChangeResponse, []string) {
	t.Helper()
	fake := newFakeReplicas()
	replicas := &memberReplicas{fakeReplicas: fake, replies: replies}
	c := New(Config{Host: "host-1", Replicas: []string{"a", "b"}, Clock: fake.clock}, replicas)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			if fake.clock.BlockUntilContext(ctx, 1) == nil {
				fake.clock.Advance(retryBackoff)
			}
		}
	}()
	response, err := c.ChangeMembers(ctx, request)
	require.NoError(t, err)
	return response, replicas.asked
}

var (
	notLeader  = peer.MemberChangeResponse{Code: peer.CodeNotLeader, Leader: "c"}
	lostLead   = peer.MemberChangeResponse{Code: peer.CodeUnknown, Message: "this replica does not lead", Leader: "b"}
	changed    = peer.MemberChangeResponse{Code: peer.CodeDone, Message: "Replica r has a vote."}
	addRequest = peer.MemberChangeRequest{Change: peer.MemberAdd, Address: "d"}
)

func TestChangeMembers_FollowsTheLeader(t *testing.T) {
	response, asked := changeMembers(t, addRequest, map[string][]peer.Message{"a": {notLeader}, "c": {changed}})
	require.Equal(t, changed, response)
	require.Equal(t, []string{"a", "c"}, asked)
}

// The lead is lost while the new replica catches up. The next leader must go on.
func TestChangeMembers_GoesOnAtTheNextLeader(t *testing.T) {
	response, asked := changeMembers(t, addRequest, map[string][]peer.Message{"a": {lostLead}, "b": {changed}})
	require.Equal(t, changed, response)
	require.Equal(t, []string{"a", "b"}, asked)
}

// The leader fails after it has removed the replica. The next one must not report that
// there never was such a replica.
func TestChangeMembers_RemovalWithALostReply(t *testing.T) {
	unknown := peer.MemberChangeResponse{Code: peer.CodeUnknownMember, Message: "there is no replica r"}
	request := peer.MemberChangeRequest{Change: peer.MemberRemove, ID: "r"}
	response, asked := changeMembers(t, request, map[string][]peer.Message{"b": {unknown}})
	require.Equal(t, peer.CodeDone, response.Code)
	require.Equal(t, []string{"a", "b"}, asked)

	response, _ = changeMembers(t, request, map[string][]peer.Message{"a": {unknown}})
	require.Equal(t, unknown, response, "without an earlier attempt")
}

func TestChangeMembers_RejectionIsFinal(t *testing.T) {
	rejected := peer.MemberChangeResponse{Code: peer.CodeRejected, Message: "another replica of the host is a member; replace it"}
	response, asked := changeMembers(t, addRequest, map[string][]peer.Message{"a": {rejected}})
	require.Equal(t, rejected, response)
	require.Equal(t, []string{"a"}, asked)
}
