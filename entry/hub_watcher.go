package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/rendezvous"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

const (
	// longPollWait is how long a hub may hold a poll that has no updates.
	longPollWait = 500 * time.Millisecond
	// longPollSlack is added to longPollWait before a poll is abandoned and
	// another hub polled.
	longPollSlack = 500 * time.Millisecond
	// initialSlack replaces longPollSlack for a host without any state. A hub
	// may have to send the whole state to many hosts at once, and polling
	// another hub would only add load.
	initialSlack = 4 * time.Second
	// minWatchBackoff is the pause after a failed poll. It doubles with each
	// consecutive failure up to maxWatchBackoff.
	minWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff = 200 * time.Millisecond
)

// errHubNotCurrent reports a hub that has lost contact with the majority.
var errHubNotCurrent = errors.New("hub has no contact with a majority of the state replicas")

// hubWatcher keeps this host's view up to date by long polling a hub.
type hubWatcher struct {
	entry *Entry
	log   *logrus.Logger
	clock clockwork.Clock

	mu sync.Mutex
	// configuredHubs are the hubs of the settings, memberHubs those that the
	// last hub reported.
	configuredHubs []string
	memberHubs     []string

	// The fields below are used only by run.
	candidateIndex int
	failedPolls    int
	tableSource    uint64
	tableVersion   uint64
	currentHub     string
	failback       failback
}

func newHubWatcher(e *Entry) *hubWatcher {
	return &hubWatcher{entry: e, log: logs.ForComponent(e.Log, "Watch"), clock: e.Clock, configuredHubs: e.Settings.StateReplicas, failback: newFailback(e.Settings.Host)}
}

// setConfiguredHubs replaces the hubs of the settings.
func (w *hubWatcher) setConfiguredHubs(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configuredHubs = addresses
}

// candidates returns the hubs in the order in which to poll them. The order
// depends on the host, so that hosts spread over the hubs.
func (w *hubWatcher) candidates() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	hubs := slices.Clone(w.memberHubs)
	for _, address := range w.configuredHubs {
		if !slices.Contains(hubs, address) {
			hubs = append(hubs, address)
		}
	}
	return rendezvous.Rank(w.entry.Settings.Host, hubs)
}

// run polls one hub, and the next one when it fails, until ctx ends.
func (w *hubWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		candidates := w.candidates()
		address := candidates[w.candidateIndex%len(candidates)]
		if preferred := candidates[0]; w.currentHub != "" && w.currentHub != preferred && w.failback.due(w.clock.Now()) {
			w.tryFailback(ctx, preferred)
			continue
		}
		// After an outage of all hosts, every hub lacks a quorum for a while. A
		// host that has been refused by each of them waits at one.
		err := w.poll(ctx, address, w.failedPolls >= len(candidates))
		if err == nil {
			w.failedPolls = 0
			w.recordHub(address, address == candidates[0])
			continue
		}
		if w.currentHub == address {
			w.currentHub = ""
			w.log.WithFields(logrus.Fields{"Hub": address, "Error": err.Error()}).Warn("Lost connection to hub.")
		}
		w.candidateIndex++
		backoff := min(minWatchBackoff<<min(w.failedPolls, 8), maxWatchBackoff)
		w.failedPolls++
		select {
		case <-ctx.Done():
		case <-w.clock.After(backoff):
		}
	}
}

// recordHub records the hub that answered the last poll.
func (w *hubWatcher) recordHub(address string, preferred bool) {
	if w.currentHub == address {
		return
	}
	w.currentHub = address
	w.log.WithField("Hub", address).Info("Receiving updates from hub.")
	if preferred {
		w.failback.recordFailback()
	} else {
		w.failback.recordFailover(w.clock.Now())
	}
}

// tryFailback polls the preferred hub and stays with it if it can serve.
func (w *hubWatcher) tryFailback(ctx context.Context, preferred string) {
	if err := w.poll(ctx, preferred, false); err != nil {
		w.log.WithFields(logrus.Fields{"Hub": preferred, "Error": err.Error()}).Debug("Preferred hub is not available yet.")
		w.failback.recordFailedAttempt(w.clock.Now())
		return
	}
	w.candidateIndex = 0
	w.recordHub(preferred, true)
}

// poll polls a hub once and applies its answer. A hub without contact with the
// quorum answers at once, unless waitForQuorum is set: it then answers when the
// contact is back or the wait is over.
func (w *hubWatcher) poll(ctx context.Context, address string, waitForQuorum bool) error {
	view := w.entry.view.view()
	request := peer.WatchRequest{Host: w.entry.Settings.Host, RosterSource: w.tableSource, RosterVersion: w.tableVersion, MaxWait: longPollWait, Loads: w.entry.selector.ownLoads()}
	if view != nil {
		request.Revision, request.FleetVersion = view.Revision, view.FleetVersion
	}
	slack := longPollSlack
	if w.currentHub != address && !waitForQuorum {
		request.MaxWait = 0
	}
	if w.tableSource == 0 {
		slack = initialSlack
	}
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock, request.MaxWait+slack)
	defer cancel()
	answer, err := w.entry.node.Call(ctx, address, request)
	if err != nil {
		return err
	}
	update, ok := answer.(peer.WatchResponse)
	if !ok {
		return errors.Errorf("unexpected answer of type %T", answer)
	}
	if !update.QuorumConfirmed {
		return errHubNotCurrent
	}
	return w.applyAnswer(update, request.Loads)
}

// applyAnswer applies the updates of a hub. reportedLoads are the loads that
// this host sent with the poll.
func (w *hubWatcher) applyAnswer(update peer.WatchResponse, reportedLoads map[string]int) error {
	if len(update.Delta) > 0 {
		if err := w.applyDelta(update.Delta); err != nil {
			return err
		}
	}
	w.entry.selector.applyRoster(update.Entries, update.WatcherCount)
	w.entry.selector.applyLoads(update.Loads, update.MeanLoad, reportedLoads)
	w.tableSource, w.tableVersion = update.RosterSource, update.RosterVersion
	if len(update.ReplicaAddresses) > 0 {
		w.mu.Lock()
		w.memberHubs = update.ReplicaAddresses
		w.mu.Unlock()
	}
	return nil
}

func (w *hubWatcher) applyDelta(encoded []byte) error {
	delta, err := registry.DecodeDelta(encoded)
	if err != nil {
		return errors.Wrap(err, "decode state delta")
	}
	last := w.entry.view.view()
	next, err := delta.ApplyWithParser(last, w.entry.Protocol.ParseFleet)
	if err != nil {
		return errors.Wrap(err, "apply state delta")
	}
	w.entry.view.set(next)
	if last == nil || last.FleetVersion != next.FleetVersion || last.OutageVersion != next.OutageVersion {
		w.log.WithFields(logrus.Fields{
			"Revision": next.Revision, "FleetVersion": next.FleetVersion, "DomainsOut": len(next.DomainsOut),
		}).Info("New state view is in force.")
	}
	return nil
}
