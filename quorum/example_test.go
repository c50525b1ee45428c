package quorum_test

import (
	"context"
	"fmt"

	"comfreytiller.dev/quorum"
)

// counter is a state machine that counts commands.
type counter struct{ count byte }

func (c *counter) Apply(_, _ uint64, _ []byte) []byte {
	c.count++
	return []byte{c.count}
}

func (c *counter) Snapshot() ([]byte, error) { return []byte{c.count}, nil }

func (c *counter) Restore(snapshot []byte) error {
	c.count = snapshot[0]
	return nil
}

// singleReplicaTransport is the transport of a cluster with a single replica.
type singleReplicaTransport struct{}

func (singleReplicaTransport) Send([]quorum.Message) {}

func Example() {
	storage := &quorum.MemoryStorage{}
	member := quorum.Member{ID: quorum.NewID(), Host: "entry-1", Address: "127.0.0.1:7080", Voter: true}
	if err := quorum.Bootstrap(storage, quorum.NewID(), "entry-1", []quorum.Member{member}); err != nil {
		fmt.Println(err)
		return
	}
	replica, err := quorum.Start(quorum.Config{Host: "entry-1"}, storage, singleReplicaTransport{}, &counter{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer replica.Stop()

	// ErrNotLeader means that the command had no effect, so it is repeated
	// until a leader is elected.
	for {
		result, err := replica.Propose(context.Background(), []byte("add"))
		if err == nil {
			fmt.Println(result)
			return
		}
	}
	// Output: [1]
}
