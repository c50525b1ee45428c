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
	// fetching is set while a large delta is requested.
	fetching bool
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
	omitted, err := c.request(ctx, hub, maxCheckedDeltaBytes, viewCheckTimeout)
	if err == nil && omitted && c.beginFetch() {
		defer c.endFetch()
		_, err = c.request(ctx, hub, 0, largeDeltaTimeout)
	}
	if err != nil {
		c.log.WithFields(logrus.Fields{"Hub": hub, "Error": err.Error()}).Debug("Hub did not confirm the state view.")
	}
}

func (c *viewChecker) beginFetch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetching {
		return false
	}
	c.fetching = true
	return true
}

func (c *viewChecker) endFetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetching = false
}

// request asks a hub for the delta to its view and applies it. omitted is set if the hub has
// a later view and its delta is larger than maxDelta bytes.
func (c *viewChecker) request(ctx context.Context, hub string, maxDelta int, timeout time.Duration) (omitted bool, err error) {
	view := c.daemon.view.latest()
	if view == nil {
		return false, errNoFleet
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.daemon.Clock, timeout)
	defer cancel()
	sentAt := c.daemon.Clock.Now()
	reply, err := c.daemon.node.Call(ctx, hub, peer.WatchRequest{
		Host: c.daemon.Settings.Host, Revision: view.Revision, FleetVersion: view.FleetVersion, StateOnly: true, MaxDeltaBytes: maxDelta,
	})
	if err != nil {
		return false, err
	}
	response, ok := reply.(peer.WatchResponse)
	if !ok {
		return false, errors.Errorf("unexpected reply of type %T to a request for the state view", reply)
	}
	if !response.QuorumConfirmed {
		return false, errHubNotCurrent
	}
	return response.OmittedRevision > 0, c.daemon.watcher.applyState(response, sentAt)
}
