package session_test

import (
	"context"
	"fmt"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/session"
)

// replica is a single state replica without a network.
type replica struct {
	machine *registry.Machine
	index   uint64
}

func (r *replica) Call(ctx context.Context, _ string, message peer.Message) (peer.Message, error) {
	switch m := message.(type) {
	case peer.ProposeRequest:
		r.index++
		return peer.ProposeResponse{Code: peer.CodeDone, Result: r.machine.Apply(r.index, 1, m.Command)}, nil
	case peer.RenewRequest:
		if r.machine.View().Revision == m.Revision {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return peer.RenewResponse{Code: peer.CodeDone, Delta: r.machine.EncodedDeltaSince(m.Revision, m.FleetVersion)}, nil
	}
	return peer.Failure{Message: "unexpected"}, nil
}

func Example() {
	client := session.New(session.Config{
		Host:         "entry-1",
		OwnsServices: true,
		Replicas:     []string{"127.0.0.1:7080"},
		Clock:        clockwork.NewRealClock(),
		StartNonce:   1,
	}, &replica{machine: registry.NewMachine()})
	fmt.Println(client.Check())

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go client.Run(ctx)
	view, changed := client.Watch()
	for client.Check() != nil || view.Hosts["entry-1"].Session == 0 {
		<-changed
		view, changed = client.Watch()
	}
	fmt.Println(client.Check(), view.Hosts["entry-1"].Name)
	// Output:
	// session lease is not live
	// <nil> entry-1
}
