package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// copyCounter counts the copies of entries that a leader sends to the follower c, while b
// answers.
type copyCounter struct {
	t      *testing.T
	leader *Node
	copies map[uint64]int
	// last is the last message to c.
	last Message
}

func (c *copyCounter) collect() {
	ready := c.leader.Ready()
	for _, m := range append(ready.Messages, ready.MessagesAfterSave...) {
		if m.To != "c" || m.Kind != MessageAppend {
			continue
		}
		c.last = m
		for _, e := range m.Entries {
			c.copies[e.Index]++
		}
	}
	c.leader.Advance()
}

func (c *copyCounter) respond(from string, index uint64, reject bool, hint uint64) {
	c.leader.Step(Message{Kind: MessageAppendResponse, Cluster: "x", From: from, To: "a", Term: 4, Index: index, Reject: reject, Hint: hint})
	c.collect()
}

// run passes heartbeat rounds that c does not answer.
func (c *copyCounter) run(rounds int) {
	for range rounds * DefaultHeartbeatTicks {
		c.leader.Tick()
		c.respond("b", 2, false, 0)
		require.Equal(c.t, Leader, c.leader.Role())
	}
}

// The log entries for replaced voters were sent again with each heartbeat while the first copy
// was on its way over the leader's link, which all hosts waited for.
func TestReplicate_NoSecondCopyOfEntriesInFlight(t *testing.T) {
	c := &copyCounter{t: t, leader: leaderOfThree(t, 3, 4, 5), copies: map[uint64]int{}}
	c.collect()
	// c lacks all entries after the first.
	last := c.leader.log.lastIndex()
	c.respond("c", last, true, 2)
	c.run(20)
	for index := uint64(2); index <= last; index++ {
		require.Equal(t, 1, c.copies[index], "copies of entry %d before an answer", index)
	}
	// c has written a part of the entries.
	c.respond("c", 3, false, 0)
	c.run(5)
	for index := uint64(2); index <= last; index++ {
		require.Equal(t, 1, c.copies[index], "copies of entry %d", index)
	}
	// The rest was lost with the connection: c rejects the next message, and gets the rest.
	require.Equal(t, last, c.last.Index)
	c.respond("c", last, true, 4)
	c.run(5)
	require.Equal(t, 1, c.copies[3])
	require.Equal(t, 2, c.copies[4])
	require.Equal(t, 2, c.copies[last])
	c.respond("c", last, false, 0)
	require.Equal(t, last, c.leader.progress["c"].match)
	require.Zero(t, c.leader.progress["c"].inFlightBytes)
}

// A probe with entries that is lost, without a rejection, keeps no follower behind.
func TestReplicate_LostProbeIsRepeated(t *testing.T) {
	c := &copyCounter{t: t, leader: leaderOfThree(t, 3, 4, 5), copies: map[uint64]int{}}
	c.collect()
	last := c.leader.log.lastIndex()
	c.respond("c", last, true, 2)
	c.run(1)
	require.Empty(t, c.last.Entries)
	require.Equal(t, uint64(1), c.last.Index, "the probe is repeated without entries")
	c.respond("c", 1, false, 0)
	require.Equal(t, last, c.last.Index, "the entries are checked at once")
	c.respond("c", last, true, 2)
	require.Equal(t, 2, c.copies[last])
	c.respond("c", last, false, 0)
	require.Equal(t, last, c.leader.progress["c"].match)
}
