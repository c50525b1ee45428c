package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
)

const (
	// recoveryInterval is the interval between checks of the other replicas without a leader.
	recoveryInterval = 250 * time.Millisecond
	// recoveryDelay is how long there must be no leader before voters are checked. A leader
	// that the new replicas can reach has them in its cluster by then.
	recoveryDelay = time.Second
)

// recoveryObserver lets the replica elect a leader without the lost voters if these leave no
// majority.
type recoveryObserver struct {
	hub *Hub
	// noLeaderSince is since when no leader is known; zero if one is.
	noLeaderSince time.Time
	plan          RecoveryPlan
}

// run checks the other replicas at intervals while there is no leader.
func (o *recoveryObserver) run(ctx context.Context) {
	ticks.Every(ctx, o.hub.Clock, recoveryInterval, func(ctx context.Context) {
		now := o.hub.Clock.Now()
		switch {
		case o.hub.replica.Quorum.Leadership().Leader != "":
			o.noLeaderSince = time.Time{}
			o.apply(RecoveryPlan{})
		case o.noLeaderSince.IsZero():
			o.noLeaderSince = now
		case now.Sub(o.noLeaderSince) >= recoveryDelay:
			status := o.hub.replica.Quorum.Status()
			o.apply(PlanRecovery(status, o.askReplicas(ctx)))
		}
	})
}

// apply passes a plan to the replica and logs a new one.
func (o *recoveryObserver) apply(plan RecoveryPlan) {
	previous := o.plan
	o.plan = plan
	if len(plan.Lost) > 0 || len(previous.Lost) > 0 {
		o.hub.replica.Quorum.AllowRecovery(plan.Lost)
	}
	switch {
	case plan.Obstacle != "" && plan.Obstacle != previous.Obstacle:
		o.hub.log.WithField("Obstacle", plan.Obstacle).Warn("No majority of the voters has its disk, and no leader may be elected without the others.")
	case len(plan.Lost) > 0 && !slices.Equal(plan.Lost, previous.Lost):
		o.hub.log.WithField("Lost", plan.Lost).Warn("No majority of the voters has its disk: all that have may elect a leader without the lost ones.")
	}
}

// askReplicas returns the identities of the replicas at all other known addresses that
// respond, by address.
func (o *recoveryObserver) askReplicas(ctx context.Context) map[string]peer.IdentityResponse {
	ctx, cancel := clockwork.WithTimeout(ctx, o.hub.Clock, identityTimeout)
	defer cancel()
	var mu sync.Mutex
	responses := map[string]peer.IdentityResponse{}
	var asked sync.WaitGroup
	for _, address := range o.hub.knownReplicaAddresses() {
		asked.Go(func() {
			identity, err := o.hub.identify(ctx, address)
			if err != nil {
				o.hub.log.WithError(err).Debugf("The replica at %s doesn't tell its identity.", address)
				return
			}
			mu.Lock()
			responses[address] = identity
			mu.Unlock()
		})
	}
	asked.Wait()
	return responses
}

// identify asks the replica at an address for its identity. It returns the error of the
// call, and one for an unexpected reply.
func (h *Hub) identify(ctx context.Context, address string) (peer.IdentityResponse, error) {
	reply, err := h.node.Call(ctx, address, peer.IdentityRequest{})
	if err != nil {
		return peer.IdentityResponse{}, errors.Wrapf(err, "ask %s for its identity", address)
	}
	identity, ok := reply.(peer.IdentityResponse)
	if !ok {
		return peer.IdentityResponse{}, errors.Errorf("ask %s for its identity: unexpected reply of type %T", address, reply)
	}
	return identity, nil
}

// knownReplicaAddresses returns the addresses of the other members, of those that may still be
// voters, and of the replicas in the settings.
func (h *Hub) knownReplicaAddresses() []string {
	addresses := append(h.replicaAddresses(), h.membership.configured()...)
	for _, voter := range h.replica.Quorum.Status().PossibleVoters {
		addresses = append(addresses, voter.Address)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == h.Settings.Peers })
}
