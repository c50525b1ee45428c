package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
)

const (
	// viewCheckInterval is the interval at which the age of the view is checked.
	viewCheckInterval = 50 * time.Millisecond
	// viewCheckTimeout limits a request to another hub, largeDeltaTimeout one for a delta
	// of more than maxCheckedDeltaBytes.
	viewCheckTimeout  = time.Second
	largeDeltaTimeout = 3 * time.Second
	// sourceTimeout limits a request to a host that has a large delta.
	sourceTimeout = 500 * time.Millisecond
	// maxCheckedDeltaBytes limits the delta that a hub sends without being asked for it. The
	// watched hub may be sending the same one.
	maxCheckedDeltaBytes = 4 << 10
)

// viewChecker keeps the state view current while the hub that this host watches does not
// confirm it, by requests to the other hubs.
type viewChecker struct {
	daemon *Entry
	log    *logrus.Logger
	checks tally.Counter

	mu   sync.Mutex
	plan viewCheck
	// pendingRevision is the revision to which a large delta is being fetched; 0 for none.
	pendingRevision uint64
}

func newViewChecker(e *Entry) *viewChecker {
	return &viewChecker{daemon: e, log: logs.ForComponent(e.Log, "View"), checks: e.Scope.Counter("view_checks")}
}

// run asks other hubs as often as needed until ctx ends.
func (c *viewChecker) run(ctx context.Context) {
	wasConfirmed := true
	ticks.Every(ctx, c.daemon.Clock, viewCheckInterval, func(ctx context.Context) {
		age, received := c.daemon.view.unconfirmedFor()
		if !received {
			return
		}
		if confirmed := age <= maxUnconfirmedAge; confirmed != wasConfirmed {
			wasConfirmed = confirmed
			c.logConfirmation(confirmed, age)
		}
		hubs, watched := c.daemon.watcher.candidates(), c.daemon.watcher.watchedHub()
		c.mu.Lock()
		hub := c.plan.hubToAsk(c.daemon.Clock.Now(), age, hubs, watched)
		c.mu.Unlock()
		if hub != "" {
			go c.ask(ctx, hub)
		}
	})
}

func (c *viewChecker) logConfirmation(confirmed bool, age time.Duration) {
	fields := logrus.Fields{"Age": age, "Hub": c.daemon.watcher.watchedHub()}
	if view := c.daemon.view.latest(); view != nil {
		fields["Revision"], fields["FleetVersion"] = view.Revision, view.FleetVersion
	}
	if confirmed {
		c.log.WithFields(fields).Info("State view is confirmed again.")
		return
	}
	c.log.WithFields(fields).Warn("No hub confirms the state view; unknown routes and keys are not rejected for good.")
}

// ask asks a hub once.
func (c *viewChecker) ask(ctx context.Context, hub string) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.plan.recordReply(hub)
	}()
	c.checks.Inc(1)
	response, err := c.request(ctx, hub, peer.WatchRequest{MaxDeltaBytes: maxCheckedDeltaBytes}, viewCheckTimeout)
	if err != nil {
		c.log.WithFields(logrus.Fields{"Hub": hub, "Error": err.Error()}).Debug("Hub did not confirm the state view.")
		return
	}
	if response.QuorumConfirmed {
		c.mu.Lock()
		c.plan.recordConfirmation(c.daemon.Clock.Now(), hub, response.ConfirmedAge)
		c.mu.Unlock()
	}
	if response.OmittedRevision > 0 {
		c.fetch(ctx, hub, response.OmittedRevision)
	}
}

// currentHub returns the hub that has just confirmed the view in place of the watched one; ""
// for none.
func (c *viewChecker) currentHub() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan.currentHub(c.daemon.Clock.Now())
}

// fetch gets the delta to a later revision that a hub has not sent because of its size: from
// a host that the hub names, or from the hub. It does nothing while another fetch is running.
func (c *viewChecker) fetch(ctx context.Context, hub string, revision uint64) {
	c.mu.Lock()
	if c.pendingRevision > 0 {
		c.mu.Unlock()
		return
	}
	c.pendingRevision = revision
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pendingRevision = 0
	}()
	response, err := c.request(ctx, hub, peer.WatchRequest{}, largeDeltaTimeout)
	if err == nil && c.daemon.view.isBehind(revision) {
		for _, source := range response.Sources {
			if _, err = c.request(ctx, source, peer.WatchRequest{}, sourceTimeout); err == nil && !c.daemon.view.isBehind(revision) {
				return
			}
		}
		_, err = c.request(ctx, hub, peer.WatchRequest{Direct: true}, largeDeltaTimeout)
	}
	if err != nil {
		c.log.WithFields(logrus.Fields{"Hub": hub, "Revision": revision, "Sources": response.Sources, "Error": err.Error()}).Warn("Getting a large change of the state view failed.")
	}
}

// pending returns the revision that is being fetched; 0 for none.
func (c *viewChecker) pending() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingRevision
}

// request asks a hub, or a host that has it, for the delta from the view in force and applies
// it.
func (c *viewChecker) request(ctx context.Context, address string, request peer.WatchRequest, timeout time.Duration) (peer.WatchResponse, error) {
	view := c.daemon.view.latest()
	if view == nil {
		return peer.WatchResponse{}, errNoFleet
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.daemon.Clock, timeout)
	defer cancel()
	request.Host, request.Revision, request.FleetVersion, request.StateOnly = c.daemon.Settings.Host, view.Revision, view.FleetVersion, true
	sentAt := c.daemon.Clock.Now()
	reply, err := c.daemon.node.Call(ctx, address, request)
	if err != nil {
		return peer.WatchResponse{}, err
	}
	response, ok := reply.(peer.WatchResponse)
	if !ok {
		return peer.WatchResponse{}, errors.Errorf("unexpected reply of type %T to a request for the state view", reply)
	}
	if !response.QuorumConfirmed && len(response.Delta) == 0 {
		return response, errHubNotCurrent
	}
	if !response.QuorumConfirmed {
		response.ConfirmedAge = 0
	}
	return response, c.daemon.watcher.applyState(response, sentAt)
}
