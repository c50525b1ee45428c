// Package session keeps a host's lease with the state replicas and the host's
// state view.
//
// One call renews the lease and returns a state delta: the leader replies at
// once if there are changes, or after a second otherwise. The lease counts from
// the moment the renewal was sent, so a late reply grants nothing, and the view
// of a host with a valid lease is at most as old as the lease.
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
	// longPollMaxWait is how long the leader may hold a renewal when the state
	// has not changed.
	longPollMaxWait = time.Second
	// longPollSlack is added to longPollMaxWait before a renewal is abandoned.
	longPollSlack = 500 * time.Millisecond
	// retryBackoff is the pause between attempts while no leader is found.
	retryBackoff = 100 * time.Millisecond
	// proposeTimeout limits one attempt of a proposal.
	proposeTimeout = 2 * time.Second
)

// Errors of a session.
var (
	// ErrNoLease reports that the host has no valid lease. Its text is the body
	// of a failed readiness check.
	ErrNoLease = errors.New("session lease is not live")
	// ErrUnknownOutcome reports a command that may have been or may yet be
	// committed.
	ErrUnknownOutcome = errors.New("outcome of the command is unknown")
	// ErrNoLeader reports a command that reached no leader and has no effect.
	ErrNoLeader = errors.New("no leader of the state replicas was reached")
)

// PeerClient sends a request to another host and returns its reply. *peer.Node
// implements it.
type PeerClient interface {
	Call(ctx context.Context, address string, message peer.Message) (peer.Message, error)
}

// Config configures a Client.
type Config struct {
	Host          string
	FailureDomain string
	// PeerAddress is the address for other hosts, CallerAddress the one for
	// callers.
	PeerAddress   string
	CallerAddress string
	// OwnsServices is set if the host may own services.
	OwnsServices bool
	// Replicas are the peer addresses of the state replicas.
	Replicas []string
	Clock    clockwork.Clock
	// ProcessNonce is a random number drawn when the process starts. It
	// prevents an OpenSession command that is resent after a lost reply from
	// opening a second session.
	ProcessNonce uint64
	// UnavailableServices returns the services owned by this host that cannot
	// serve now; nil for none.
	UnavailableServices func() []string
	// OnError is called when opening or renewing the session fails with an
	// error that differs from the last one; nil to ignore errors.
	OnError func(err error)
}

// emptyView returns the view before the first state delta.
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
