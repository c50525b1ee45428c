package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/peer"
)

// maxFirstRounds is how often a host asks the same hub for its first view while the hub replies
// that neither it nor a host that has the view is free.
const maxFirstRounds = 4

// Errors of a host that asks for its first view.
var (
	errViewPending = errors.New("no first view could be had yet")
	errChecksum    = errors.New("the checksum of the state view does not match")
)

// rosterPosition identifies the roster that a host has: the hub process that sent it, and its
// version.
type rosterPosition struct{ source, version uint64 }

// recordPosition records the roster that a reply completed.
func (w *hubWatcher) recordPosition(response *peer.WatchResponse) {
	w.rosterSource, w.rosterVersion = response.RosterSource, response.RosterVersion
	w.position.Store(&rosterPosition{source: response.RosterSource, version: response.RosterVersion})
}

// peerAddress returns the address at which other hosts reach this one; "" for none.
func (w *hubWatcher) peerAddress() string {
	if w.daemon.peerListener == nil {
		return ""
	}
	return w.daemon.peerListener.Addr().String()
}

// receive gets the first view if there is none yet, and polls a hub once.
func (w *hubWatcher) receive(ctx context.Context, address string, waitForMajority bool) error {
	if w.daemon.view.latest() == nil {
		received, err := w.fetchFirst(ctx, address, waitForMajority)
		if err != nil {
			return err
		}
		// The reply to the next poll confirms the view, and tells the hub that this host is a
		// source for others.
		waitForMajority = waitForMajority && !received
	}
	return w.poll(ctx, address, waitForMajority)
}

// fetchFirst gets the first view and roster from a hub, or from hosts that the hub names. It
// reports false for a hub that has no view either.
func (w *hubWatcher) fetchFirst(ctx context.Context, hub string, waitForMajority bool) (received bool, err error) {
	request := peer.WatchRequest{Host: w.daemon.Settings.Host, IsFirst: true, StateOnly: true, PeerAddress: w.peerAddress(), ReadsPacked: true}
	if waitForMajority {
		request.MaxWait = longPollMaxWait
	}
	for round := range maxFirstRounds {
		// After sources that failed, the hub itself is asked.
		request.Direct = err != nil && round == maxFirstRounds-1
		sentAt := w.clock.Now()
		response, callErr := w.callWhileAlive(ctx, hub, request, request.MaxWait+longPollSlack)
		if callErr != nil {
			return false, callErr
		}
		if !response.QuorumConfirmed {
			w.recordMembers(&response)
			return false, notCurrentError(&response)
		}
		if len(response.Delta) == 0 && response.OmittedRevision == 0 {
			return false, nil
		}
		if len(response.Delta) > 0 {
			if err = w.applyFirst(response, hub, sentAt); err != nil {
				return false, err
			}
			return true, nil
		}
		for _, source := range response.Sources {
			if err = w.fetchFirstFrom(ctx, source, request); err == nil {
				return true, nil
			}
			w.log.WithFields(logrus.Fields{"Source": source, "Error": err.Error()}).Info("A host did not pass on the first state view.")
		}
	}
	return false, errors.Wrapf(errViewPending, "hub %s", hub)
}

// fetchFirstFrom gets the first view and roster from another host. It does not confirm the
// view, only a hub does.
func (w *hubWatcher) fetchFirstFrom(ctx context.Context, source string, request peer.WatchRequest) error {
	sentAt := w.clock.Now()
	response, err := w.callWhileAlive(ctx, source, request, sourceTimeout)
	if err != nil {
		return err
	}
	if len(response.Delta) == 0 {
		return errors.Wrapf(errViewPending, "host %s", source)
	}
	response.QuorumConfirmed, response.ConfirmedAge = false, 0
	return w.applyFirst(response, source, sentAt)
}

// applyFirst applies the first view and the roster that came with it. from is the hub or the
// host that sent them.
func (w *hubWatcher) applyFirst(response peer.WatchResponse, from string, sentAt time.Time) error {
	if response.Checksum != 0 && response.Checksum != xxhash.Sum64(response.Delta) {
		return errors.Wrapf(errChecksum, "view from %s", from)
	}
	if err := w.applyState(response, sentAt); err != nil {
		return err
	}
	w.daemon.selector.hosts.recordPresent(response.PresentCount)
	if response.RosterSource != 0 {
		w.daemon.selector.applyRoster(response.Entries, response.WatcherCount)
		w.recordPosition(&response)
	}
	w.recordMembers(&response)
	w.log.WithFields(logrus.Fields{
		"From": from, "FromHub": response.QuorumConfirmed, "Bytes": len(response.Delta), "Entries": len(response.Entries),
		"Took": w.clock.Since(sentAt), "SinceStart": w.clock.Since(w.startedAt), "FailedPolls": w.failedPolls,
	}).Info("First state view was received.")
	return nil
}
