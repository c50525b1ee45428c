// Package session keeps a host's lease with the state replicas and the host's
// copy of the replicated state.
//
// One call renews the lease and returns state updates: the leader answers at
// once if it has any, or after a second otherwise. The lease counts from the
// moment the renewal was sent, so a late answer grants nothing, and the view of
// a host with a live lease is at most as old as the lease.
//
// # Usage
//
//	client := session.New(session.Config{Host: "rabat-a-1", Replicas: addresses, Clock: clock}, node)
//	go client.Run(ctx)
//	if err := client.Check(); err != nil { ... } // must not send work to targets now
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

// Durations of a session. The leader must use the same lease duration.
const (
	// LeaseDuration is how long a lease is valid after the renewal was sent.
	LeaseDuration = 3 * time.Second
	// ClockMargin is subtracted from the lease on the host, to allow for clock
	// drift.
	ClockMargin = 500 * time.Millisecond
	// renewLongPoll is how long the leader may hold a renewal when there are no
	// state updates.
	renewLongPoll = time.Second
	// renewSlack is added to renewLongPoll before a renewal is abandoned.
	renewSlack = 500 * time.Millisecond
	// retryBackoff is the pause between attempts while no leader is found.
	retryBackoff = 100 * time.Millisecond
	// proposeTimeout bounds one attempt of a proposal.
	proposeTimeout = 2 * time.Second
)

// Errors of a session.
var (
	// ErrNoLease reports that the host has no live lease.
	ErrNoLease = errors.New("session lease is not live")
	// ErrOutcomeUnknown reports a command that may have been committed.
	ErrOutcomeUnknown = errors.New("outcome of the command is unknown")
	// ErrNoLeader reports a command that reached no leader and has no effect.
	ErrNoLeader = errors.New("no leader of the state replicas was reached")
)

// Caller sends a request to another host and returns its answer. *peer.Node
// implements it.
type Caller interface {
	Call(ctx context.Context, address string, message peer.Message) (peer.Message, error)
}

// Config configures a Client.
type Config struct {
	Host          string
	FailureDomain string
	PeerAddress   string
	CallerAddress string
	// OwnsServices is set if the host may own services.
	OwnsServices bool
	// Replicas are the peer addresses of the state replicas.
	Replicas []string
	Clock    clockwork.Clock
	// StartNonce is a random number drawn when the process starts. It prevents
	// an OpenSession command that is repeated after a lost answer from opening
	// a second session.
	StartNonce uint64
	// IdleServices returns the services owned by this host that cannot serve
	// now; nil for none.
	IdleServices func() []string
	// OnError is called when opening or renewing the session fails with an
	// error that differs from the last one; nil to ignore errors.
	OnError func(err error)
}

// emptyView returns the view before the first state update.
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
