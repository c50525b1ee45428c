package hub

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target/roster"
)

// orderTimeout bounds a commit or a read for an operator, who asks another hub
// after a second.
const orderTimeout = 900 * time.Millisecond

// hostsTimeout bounds the wait for the hosts to have an order, hostsPoll is the
// pause between two looks.
const (
	hostsTimeout = 600 * time.Millisecond
	hostsPoll    = 20 * time.Millisecond
)

// control takes what targets and operators tell. It implements
// protocol.Control.
type control struct{ hub *Hub }

// Announce takes a target's word. A hub that has lost touch refuses it, so that
// the target tells another one.
func (c *control) Announce(_ context.Context, entry roster.Entry) error {
	h := c.hub
	if !h.inTouch() {
		return errors.Wrap(protocol.ErrUnavailable, "no touch with a majority of the state replicas")
	}
	changed := h.table.Take(h.Clock.Now(), entry)
	if changed {
		h.logTarget(entry, h.Settings.Host)
	}
	h.gossip.spoke(entry.Name, changed)
	return nil
}

// Leave takes a target's last word.
func (c *control) Leave(_ context.Context, name string) error {
	h := c.hub
	if !h.inTouch() {
		return errors.Wrap(protocol.ErrUnavailable, "no touch with a majority of the state replicas")
	}
	entry, known := h.table.Leave(h.Clock.Now(), name)
	if !known {
		return nil
	}
	h.logTarget(entry, h.Settings.Host)
	h.gossip.spoke(name, true)
	return nil
}

// PutFleet commits a text.
func (c *control) PutFleet(ctx context.Context, version uint64, text []byte) error {
	result, err := c.commit(ctx, registry.NumberFleet{Version: version, Text: text})
	if err != nil {
		return err
	}
	c.hub.log.WithFields(map[string]any{
		"Version": version, "InForce": result.Version, "Code": result.Code, "Detail": result.Detail, "Bytes": len(text),
	}).Infof("Fleet version %d: %s.", version, result.Code)
	switch err := result.Err(); {
	case errors.Is(err, registry.ErrInvalid), errors.Is(err, registry.ErrMalformed):
		return errors.Wrap(protocol.ErrInvalidConfig, err.Error())
	case errors.Is(err, registry.ErrConflict):
		return errors.Wrap(protocol.ErrVersionConflict, err.Error())
	default:
		return err
	}
}

// Fleet returns the newest text once a majority has confirmed that it is.
func (c *control) Fleet(ctx context.Context) (uint64, []byte, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.hub.Clock, orderTimeout)
	defer cancel()
	if err := c.hub.barrier(ctx); err != nil {
		return 0, nil, errors.Wrap(protocol.ErrUnavailable, err.Error())
	}
	view := c.hub.replica.Machine.View()
	return view.FleetVersion, view.FleetText, nil
}

// SetOutage takes a failure domain out or back.
func (c *control) SetOutage(ctx context.Context, failureDomain string, out bool) error {
	result, err := c.commit(ctx, registry.SetOutage{
		Operation:     registry.Operation{ID: rand.Text(), Time: c.hub.Clock.Now()},
		FailureDomain: failureDomain,
		Out:           out,
	})
	if err != nil {
		return err
	}
	c.hub.log.WithFields(map[string]any{
		"FailureDomain": failureDomain, "Out": out, "Version": result.Version, "Code": result.Code,
	}).Infof("Outage of %s: %s.", failureDomain, result.Code)
	return result.Err()
}

// commit proposes an order. Nothing is acknowledged before the cluster has all
// the voters that it is to have: fewer could lose it.
func (c *control) commit(ctx context.Context, command registry.Command) (registry.Result, error) {
	if !c.hub.formed() {
		return registry.Result{}, errors.Wrap(protocol.ErrUnavailable, "the cluster has too few voters yet")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.hub.Clock, orderTimeout)
	defer cancel()
	result, err := c.hub.proposer.Propose(ctx, command)
	if err != nil {
		return registry.Result{}, errors.Wrap(protocol.ErrUnavailable, err.Error())
	}
	c.awaitHosts(ctx)
	return result, nil
}

// awaitHosts waits until the hosts that watch this hub have what it has, so that
// an acknowledged order is soon in force also where it takes a while to tell it
// to all of them. A host that is slow or gone holds it up for no longer than ctx.
func (c *control) awaitHosts(ctx context.Context) {
	h := c.hub
	revision := h.replica.Machine.View().Revision
	limit, cancel := clockwork.WithTimeout(ctx, h.Clock, hostsTimeout)
	defer cancel()
	ticker := h.Clock.NewTicker(hostsPoll)
	defer ticker.Stop()
	for h.watchers.behind(revision) {
		select {
		case <-limit.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// formed reports whether the cluster has the voters that it is to have.
func (h *Hub) formed() bool {
	voters := 0
	for _, member := range h.replica.Quorum.Status().Members {
		if member.Voter {
			voters++
		}
	}
	return voters >= h.voters()
}
