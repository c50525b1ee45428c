package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/rendezvous"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target/roster"
)

const (
	// longPollMaxWait is how long a hub may hold a long poll when there are no
	// changes.
	longPollMaxWait = 500 * time.Millisecond
	// longPollSlack is added to longPollMaxWait before a poll is abandoned and
	// another hub is polled.
	longPollSlack = 500 * time.Millisecond
	// initialSlack replaces longPollSlack for a host without a state view. A
	// hub may have to send the whole view to many hosts at once, and polling
	// another hub would only add load.
	initialSlack = 4 * time.Second
	// maxPollWait is how long a host waits for the reply of a hub that is alive.
	maxPollWait = 4 * time.Second
	// aliveTimeout is how long a hub may send nothing, also no reply to the probes of the
	// connection, before a poll without a reply in time is abandoned.
	aliveTimeout       = 900 * time.Millisecond
	aliveCheckInterval = 100 * time.Millisecond
	// minWatchBackoff is the pause after a failed poll. It doubles with each
	// consecutive failure up to maxWatchBackoff.
	minWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff = 200 * time.Millisecond
)

// errHubNotCurrent reports a hub that has lost contact with a majority of the
// state replicas.
var errHubNotCurrent = errors.New("hub has no contact with a majority of the state replicas")

// errHubBehind reports a hub that has not been confirmed for maxUnconfirmedAge, while another
// one has just confirmed the view of this host.
var errHubBehind = errors.New("hub is not confirmed as current, and another one is")

// hubWatcher keeps this host's state view, roster and loads up to date by long
// polls of a hub.
type hubWatcher struct {
	daemon *Entry
	log    *logrus.Logger
	clock  clockwork.Clock

	mu sync.Mutex
	// configuredHubs are the hub addresses of the settings, memberHubs those of
	// the members of the cluster as last reported by a hub.
	configuredHubs []string
	memberHubs     []string
	// probeResult receives the result of asking the preferred hub; nil if it can serve.
	probeResult chan error
	// currentHub is the hub that replied to the last poll; "" while there is none.
	currentHub string

	// position is the roster that this host has; nil before the first one.
	position atomic.Pointer[rosterPosition]

	// The fields below are used only by run.
	startedAt      time.Time
	candidateIndex int
	failedPolls    int
	// suspectsSource is the process of the hub that sent the last list of suspects.
	suspectsSource uint64
	rosterSource   uint64
	rosterVersion  uint64
	failback       failback
	// probing is set while the preferred hub is asked whether it can serve.
	probing bool
	// needsWholeView is set after a delta that did not fit the view in force.
	needsWholeView bool
}

func newHubWatcher(e *Entry) *hubWatcher {
	return &hubWatcher{daemon: e, log: logs.ForComponent(e.Log, "Watch"), clock: e.Clock, configuredHubs: e.Settings.StateReplicas, failback: newFailback(e.Settings.Host), probeResult: make(chan error, 1), startedAt: e.Clock.Now()}
}

// setConfiguredHubs replaces the configured hub addresses.
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
	return rendezvous.Rank(w.daemon.Settings.Host, hubs)
}

// run polls one hub, and the next one when it fails, until ctx ends.
func (w *hubWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		candidates := w.candidates()
		address := candidates[w.candidateIndex%len(candidates)]
		watched := w.watchedHub()
		if preferred := candidates[0]; watched != "" && watched != preferred && w.shouldFailBack(ctx, preferred) {
			w.tryFailback(ctx, preferred)
			continue
		}
		// After an outage of all hosts, no hub has contact with a majority for
		// a while. A host that has been rejected by each hub waits at one of
		// them.
		err := w.receive(ctx, address, w.failedPolls >= len(candidates))
		if err == nil {
			w.failedPolls = 0
			w.recordHub(address, address == candidates[0])
			continue
		}
		var full *hubFullError
		isFull := errors.As(err, &full)
		if watched == address {
			w.setWatchedHub("")
			if isFull {
				w.log.WithFields(logrus.Fields{"Hub": address, "Hubs": full.hubs}).Info("Hub has too many hosts and names others.")
			} else {
				w.log.WithFields(logrus.Fields{"Hub": address, "Error": err.Error()}).Warn("Lost connection to hub.")
			}
		}
		backoff := min(minWatchBackoff<<min(w.failedPolls, 8), maxWatchBackoff)
		if isFull {
			w.candidateIndex = w.indexOf(candidates, full.hubs)
			backoff = full.retryAfter
		} else {
			w.candidateIndex = w.nextCandidate(candidates, address)
		}
		w.failedPolls++
		select {
		case <-ctx.Done():
		case <-w.clock.After(jitter(backoff, rand.Float64())):
		}
	}
}

// nextCandidate returns the index of the hub to poll after one that failed: the one that
// has just confirmed the view, or the next one.
func (w *hubWatcher) nextCandidate(candidates []string, failed string) int {
	if current := w.daemon.checker.currentHub(); current != failed {
		if i := slices.Index(candidates, current); i >= 0 {
			return i
		}
	}
	return w.candidateIndex + 1
}

// watchedHub returns the hub that replied to the last poll; "" while there is none.
func (w *hubWatcher) watchedHub() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.currentHub
}

func (w *hubWatcher) setWatchedHub(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.currentHub = address
}

// recordHub records the hub that replied to the last poll.
func (w *hubWatcher) recordHub(address string, preferred bool) {
	if w.watchedHub() == address {
		return
	}
	w.setWatchedHub(address)
	w.log.WithField("Hub", address).Info("Receiving state deltas from hub.")
	if preferred {
		w.failback.recordFailback()
	} else {
		w.failback.recordFailover(w.clock.Now())
	}
}

// shouldFailBack reports whether the preferred hub has confirmed that it can serve. It asks
// it now and then, beside the polls of the watched hub.
func (w *hubWatcher) shouldFailBack(ctx context.Context, preferred string) bool {
	select {
	case err := <-w.probeResult:
		w.probing = false
		if err == nil {
			return true
		}
		w.log.WithFields(logrus.Fields{"Hub": preferred, "Error": err.Error()}).Debug("Preferred hub is not available yet.")
		w.failback.recordFailedAttempt(w.clock.Now())
	default:
	}
	if !w.probing && w.failback.due(w.clock.Now()) {
		w.probing = true
		go func() {
			_, err := w.daemon.checker.request(ctx, preferred, peer.WatchRequest{MaxDeltaBytes: maxCheckedDeltaBytes}, viewCheckTimeout)
			w.probeResult <- err
		}()
	}
	return false
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

// poll polls a hub once and applies its response. If waitForMajority is set, a
// hub without contact with a majority replies when the contact is back or the
// wait is over. Otherwise a hub that is not the current one replies at once.
func (w *hubWatcher) poll(ctx context.Context, address string, waitForMajority bool) error {
	view := w.daemon.view.latest()
	request := peer.WatchRequest{Host: w.daemon.Settings.Host, RosterSource: w.rosterSource, RosterVersion: w.rosterVersion, MaxWait: longPollMaxWait, Loads: w.daemon.selector.ownLoads(), RateLimits: w.daemon.selector.rateLimitReports()}
	observer := w.daemon.crashes.observer
	request.SuspectsVersion, request.Quarantined = observer.Version(), observer.Unlisted(w.clock.Now())
	if view != nil && !w.needsWholeView {
		request.Revision, request.FleetVersion = view.Revision, view.FleetVersion
		request.MaxDeltaBytes, request.PendingRevision = maxCheckedDeltaBytes, w.daemon.checker.pending()
	}
	if view == nil {
		// The hub omits the view, and the host asks for it by fetchFirst.
		request.MaxDeltaBytes = maxCheckedDeltaBytes
	}
	request.PeerAddress, request.PassesViews, request.ReadsPacked = w.peerAddress(), true, true
	slack := longPollSlack
	if w.watchedHub() != address && !waitForMajority {
		request.MaxWait = 0
	}
	if w.rosterSource != 0 && (w.watchedHub() != address || w.rosterVersion == 0) {
		// A hub that has just started has no targets yet, and version 0.
		request.RosterSummary = w.daemon.selector.roster.Summary()
	}
	if w.rosterSource == 0 {
		slack = initialSlack
	}
	rollouts := w.daemon.selector.rollouts.observer
	request.Refused = observer.TakeRefused()
	request.CrashReport, request.Rollout = observer.TakeReport(), rollouts.TakeReport()
	restoreReports := func() {
		observer.RestoreReport(request.CrashReport)
		rollouts.RestoreReport(request.Rollout)
	}
	sentAt := w.clock.Now()
	response, err := w.callWhileAlive(ctx, address, request, request.MaxWait+slack)
	if err != nil {
		restoreReports()
		return err
	}
	if !response.QuorumConfirmed {
		restoreReports()
		return notCurrentError(&response)
	}
	if current := w.daemon.checker.currentHub(); response.ConfirmedAge > maxUnconfirmedAge && current != "" && current != address {
		restoreReports()
		return errHubBehind
	}
	if response.OmittedRevision > 0 && view != nil && w.daemon.view.isBehind(response.OmittedRevision) {
		go w.daemon.checker.fetch(context.WithoutCancel(ctx), address, response.OmittedRevision)
	}
	return w.applyResponse(response, sentAt, request.Loads)
}

// callWhileAlive calls a hub and waits for the reply for the given time, and longer while the
// hub is alive: after the loss of other hubs, hundreds of hosts wait for their rosters, and
// another hub has no more time for them.
func (w *hubWatcher) callWhileAlive(ctx context.Context, address string, request peer.WatchRequest, wait time.Duration) (peer.WatchResponse, error) {
	request.ReplyTimeout = max(wait, maxPollWait)
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock, request.ReplyTimeout)
	defer cancel()
	go func() {
		timer := w.clock.NewTimer(wait)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.Chan():
			}
			if w.clock.Since(w.daemon.node.LastReceived(address)) > aliveTimeout {
				cancel()
				return
			}
			timer.Reset(aliveCheckInterval)
		}
	}()
	reply, err := w.daemon.node.Call(ctx, address, request)
	if err != nil {
		return peer.WatchResponse{}, err //nolint:wrapcheck // It names the hub.
	}
	response, ok := reply.(peer.WatchResponse)
	if !ok {
		return peer.WatchResponse{}, errors.Errorf("unexpected reply of type %T to a watch request", reply)
	}
	return response, nil
}

// applyResponse applies the changes that a hub sent. sentAt is when the poll was sent,
// reportedLoads are the loads that this host sent with it.
func (w *hubWatcher) applyResponse(response peer.WatchResponse, sentAt time.Time, reportedLoads map[roster.Key]int) error {
	if err := w.applyState(response, sentAt); err != nil {
		w.needsWholeView = errors.Is(err, registry.ErrWrongBase) || errors.Is(err, registry.ErrConfigMismatch)
		return err
	}
	w.needsWholeView = false
	w.daemon.selector.hosts.recordPresent(response.PresentCount)
	w.daemon.selector.applyRoster(response.Entries, response.WatcherCount)
	w.failback.recordChanges(w.clock.Now(), len(response.Entries))
	w.daemon.crashes.apply(&response, response.RosterSource != w.suspectsSource)
	w.suspectsSource = response.RosterSource
	if !response.WithoutLoads {
		w.daemon.selector.applyLoads(response.Loads, response.MeanLoad, reportedLoads)
	}
	if origins := w.daemon.origins; origins != nil && w.rosterSource != 0 && w.rosterSource != response.RosterSource {
		origins.reportAll()
	}
	w.recordPosition(&response)
	w.recordMembers(&response)
	return nil
}

// recordMembers records the hubs that a reply names.
func (w *hubWatcher) recordMembers(response *peer.WatchResponse) {
	if len(response.ReplicaAddresses) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.memberHubs = response.ReplicaAddresses
}

// applyState applies the state view of a hub's reply to a request that was sent at sentAt,
// and records when the hub confirmed it. The hub sent the reply no earlier than it could
// have received the request and kept it.
func (w *hubWatcher) applyState(response peer.WatchResponse, sentAt time.Time) error {
	if len(response.Delta) > 0 {
		switch err := w.applyDelta(response.Delta); {
		case errors.Is(err, errViewMoved):
			return nil
		case err != nil:
			return err
		}
	}
	if response.ConfirmedAge > 0 && !w.daemon.view.isBehind(response.OmittedRevision) {
		w.daemon.view.confirm(sentAt.Add(response.Held - response.ConfirmedAge))
	}
	return nil
}

func (w *hubWatcher) applyDelta(encoded []byte) error {
	last, next, err := w.daemon.view.apply(encoded, w.daemon.Protocol.ParseFleet)
	if err != nil {
		return err
	}
	w.daemon.deltas.record(last, encoded)
	w.daemon.selector.applyRollouts(next)
	if last == nil || last.FleetVersion != next.FleetVersion || last.OutageVersion != next.OutageVersion {
		w.log.WithFields(logrus.Fields{
			"Revision": next.Revision, "FleetVersion": next.FleetVersion, "DomainsOut": len(next.DomainsOut),
		}).Info("New state view is in force.")
	}
	return nil
}
