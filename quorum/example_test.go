package quorum_test

import (
	"context"
	"fmt"

	"comfreytiller.dev/quorum"
)

// counter is a machine that counts commands.
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

// alone is the transport of a cluster of one.
type alone struct{}

func (alone) Send([]quorum.Message) {}

func Example() {
	storage := &quorum.MemoryStorage{}
	member := quorum.Member{ID: quorum.NewID(), Host: "entry-1", Address: "127.0.0.1:7080", Voter: true}
	if err := quorum.Bootstrap(storage, quorum.NewID(), "entry-1", []quorum.Member{member}); err != nil {
		fmt.Println(err)
		return
	}
	replica, err := quorum.Start(quorum.Config{Host: "entry-1"}, storage, alone{}, &counter{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer replica.Stop()

	// ErrNotLeader has no effect, so the command is sent until there is one.
	for {
		result, err := replica.Propose(context.Background(), []byte("add"))
		if err == nil {
			fmt.Println(result)
			return
		}
	}
	// Output: [1]
}
