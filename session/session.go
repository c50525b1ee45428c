// Package session keeps a host's lease with the state replicas and the host's
// copy of the replicated state.
//
// One call renews the lease and brings the news: the leader answers at once if
// it has any, or after a second without. The lease counts from the moment the
// renewal was sent, so an answer that arrives late grants nothing, and a host
// with a live lease holds a view that is at most a lease old.
//
// # Usage
//
//	client := session.New(session.Config{Host: "rabat-a-1", Replicas: addresses, Clock: clock}, node)
//	go client.Run(ctx)
//	if err := client.Check(); err != nil { ... } // no work for targets now
//	view := client.View()
package session

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// Times of a session. The leader's table must use the same lease.
const (
	// Lease is how long a renewal lasts, from sending it.
	Lease = 3 * time.Second
	// Margin is what a host takes off its lease for clocks that run apart.
	Margin = 500 * time.Millisecond
	// renewWait is how long the leader may hold a renewal without news.
	renewWait = time.Second
	// renewSlack is added to renewWait before a renewal is given up.
	renewSlack = 500 * time.Millisecond
	// retryWait is the pause between tries while no leader is found.
	retryWait = 100 * time.Millisecond
	// proposeTimeout bounds one try of a proposal.
	proposeTimeout = 2 * time.Second
)

// Errors of a session.
var (
	// ErrNoLease reports that the lease is not live now.
	ErrNoLease = errors.New("session lease is not live")
	// ErrOutcomeUnknown reports a command that may have been committed.
	ErrOutcomeUnknown = errors.New("outcome of the command is unknown")
	// ErrNoLeader reports a command that reached no leader and has no effect.
	ErrNoLeader = errors.New("no leader of the state replicas was reached")
)

// Caller calls another host; *peer.Node is one.
type Caller interface {
	Call(ctx context.Context, address string, message peer.Message) (peer.Message, error)
}

// Config is what a Client needs.
type Config struct {
	Host          string
	FailureDomain string
	PeerAddress   string
	CallerAddress string
	// Owns is set where the host may own services.
	Owns bool
	// Replicas are peer addresses of state replicas.
	Replicas []string
	Clock    clockwork.Clock
	// Start is a random number of this process. A command that is sent again
	// after a lost answer then opens no second session.
	Start uint64
	// Idle returns the services owned by this host that cannot serve now; nil
	// for none.
	Idle func() []string
	// Trouble is called when opening or renewing begins to fail in another way
	// than before; nil for none.
	Trouble func(err error)
}

// emptyView is the view before the first news.
func emptyView() *registry.View {
	return &registry.View{
		Hosts:         map[string]registry.Host{},
		Owners:        map[string]registry.Owner{},
		DomainsOut:    map[string]bool{},
		TargetsOut:    map[string]bool{},
		Closing:       map[uint64]registry.Host{},
		Pins:          map[string]string{},
		PendingOrders: map[string]bool{},
	}
}
