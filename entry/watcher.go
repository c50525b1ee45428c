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
	// watchWait is how long a hub may wait for news before it answers.
	watchWait = 500 * time.Millisecond
	// watchSlack is added before a question is given up and another hub asked.
	watchSlack = 500 * time.Millisecond
	// wholeSlack is that of a host that has nothing yet: a hub may have to tell
	// everything to many at once, and to ask elsewhere would only add to it.
	wholeSlack = 4 * time.Second
	// watchPause is the pause after a question that failed. It doubles with each
	// failure in a row up to mostPause.
	watchPause = 50 * time.Millisecond
	mostPause  = 200 * time.Millisecond
)

// errNotCurrent reports a hub that has lost touch with the majority.
var errNotCurrent = errors.New("the hub has no touch with a majority")

// watcher keeps this host's view up to date with that of a hub.
type watcher struct {
	entry *Entry
	log   *logrus.Logger
	clock clockwork.Clock

	mu sync.Mutex
	// seeds are the hubs of the settings, hubs those that the last one named.
	seeds []string
	hubs  []string

	// What follows belongs to run.
	at     int
	failed int
	source uint64
	roster uint64
	hub    string
	homing homing
}

func newWatcher(e *Entry) *watcher {
	return &watcher{entry: e, log: logs.Part(e.Log, "Watch"), clock: e.Clock, seeds: e.Settings.StateReplicas, homing: newHoming(e.Settings.Host)}
}

// use replaces the hubs of the settings.
func (w *watcher) use(addresses []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = addresses
}

// candidates returns the hubs to ask, in an order of this host's own, so that
// hosts spread over them.
func (w *watcher) candidates() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := slices.Clone(w.hubs)
	for _, seed := range w.seeds {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	return rendezvous.Rank(w.entry.Settings.Host, known)
}

// run asks one hub after the other until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		candidates := w.candidates()
		address := candidates[w.at%len(candidates)]
		if first := candidates[0]; w.hub != "" && w.hub != first && w.homing.due(w.clock.Now()) {
			w.goHome(ctx, first)
			continue
		}
		// After a loss of all every hub is without touch for a while: a host that
		// has been refused by each waits at one of them.
		err := w.ask(ctx, address, w.failed >= len(candidates))
		if err == nil {
			w.failed = 0
			w.watches(address, address == candidates[0])
			continue
		}
		if w.hub == address {
			w.hub = ""
			w.log.WithFields(logrus.Fields{"Hub": address, "Error": err.Error()}).Warn("Lost a hub.")
		}
		w.at++
		pause := min(watchPause<<min(w.failed, 8), mostPause)
		w.failed++
		select {
		case <-ctx.Done():
		case <-w.clock.After(pause):
		}
	}
}

// watches records the hub that has just answered.
func (w *watcher) watches(address string, first bool) {
	if w.hub == address {
		return
	}
	w.hub = address
	w.log.WithField("Hub", address).Info("Watches a hub.")
	if first {
		w.homing.home()
	} else {
		w.homing.away(w.clock.Now())
	}
}

// goHome asks the first hub again and stays there if it can serve.
func (w *watcher) goHome(ctx context.Context, first string) {
	if err := w.ask(ctx, first, false); err != nil {
		w.log.WithFields(logrus.Fields{"Hub": first, "Error": err.Error()}).Debug("The first hub can't serve yet.")
		w.homing.failed(w.clock.Now())
		return
	}
	w.at = 0
	w.watches(first, true)
}

// ask asks a hub once and takes its news. A hub without touch answers a patient
// host when it has touch, or when the wait is over, and any other at once.
func (w *watcher) ask(ctx context.Context, address string, patient bool) error {
	view := w.entry.view.view()
	question := peer.WatchRequest{Host: w.entry.Settings.Host, RosterSource: w.source, RosterVersion: w.roster, MaxWait: watchWait, Loads: w.entry.targets.own()}
	if view != nil {
		question.Revision, question.FleetVersion = view.Revision, view.FleetVersion
	}
	slack := watchSlack
	if w.hub != address && !patient {
		question.MaxWait = 0
	}
	if w.source == 0 {
		slack = wholeSlack
	}
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock, question.MaxWait+slack)
	defer cancel()
	answer, err := w.entry.node.Call(ctx, address, question)
	if err != nil {
		return err
	}
	news, ok := answer.(peer.WatchResponse)
	if !ok {
		return errors.Errorf("answer of type %T", answer)
	}
	if !news.QuorumConfirmed {
		return errNotCurrent
	}
	return w.take(news, question.Loads)
}

// take puts news in force.
func (w *watcher) take(news peer.WatchResponse, told map[string]int) error {
	if len(news.Delta) > 0 {
		if err := w.apply(news.Delta); err != nil {
			return err
		}
	}
	w.entry.targets.take(news.Entries, news.WatcherCount)
	w.entry.targets.takeLoads(news.Loads, news.MeanLoad, told)
	w.source, w.roster = news.RosterSource, news.RosterVersion
	if len(news.ReplicaAddresses) > 0 {
		w.mu.Lock()
		w.hubs = news.ReplicaAddresses
		w.mu.Unlock()
	}
	return nil
}

func (w *watcher) apply(encoded []byte) error {
	delta, err := registry.DecodeDelta(encoded)
	if err != nil {
		return errors.Wrap(err, "decode news")
	}
	last := w.entry.view.view()
	next, err := delta.ApplyWith(last, w.entry.Protocol.ReadFleet)
	if err != nil {
		return errors.Wrap(err, "apply news")
	}
	w.entry.view.set(next)
	if last == nil || last.FleetVersion != next.FleetVersion || last.OutageVersion != next.OutageVersion {
		w.log.WithFields(logrus.Fields{
			"Revision": next.Revision, "FleetVersion": next.FleetVersion, "DomainsOut": len(next.DomainsOut),
		}).Info("A new view is in force.")
	}
	return nil
}
