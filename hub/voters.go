package hub

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/peer"
)

// maxHubPause is the time between two own refreshes after which this hub may have stood still,
// so that the silence of the voters tells nothing.
const maxHubPause = 2 * refreshInterval

// voters tracks what the voters have on their disks, as their hubs report it.
type voters struct {
	hub *Hub

	mu sync.Mutex
	// reports are the reports of the replicas, by ID.
	reports map[string]voterReport
	// awakeSince is since when this hub hears the others, refreshedAt its last refresh.
	awakeSince, refreshedAt time.Time
	// changed is closed when another voter reports a change.
	changed chan struct{}
}

func newVoters(h *Hub) *voters {
	now := h.Clock.Now()
	return &voters{hub: h, reports: map[string]voterReport{}, awakeSince: now, refreshedAt: now, changed: make(chan struct{})}
}

// durableVersions returns the versions on this hub's disk: an entry is applied once it is
// durable.
func (h *Hub) durableVersions() operatorVersions {
	view := h.replica.Machine.View()
	versions := operatorVersions{Fleet: view.FleetVersion, Outage: view.OutageVersion}
	for _, rollout := range view.Rollouts {
		versions.Rollout = max(versions.Rollout, rollout.Number)
	}
	return versions
}

// report returns a message that tells what this hub has on its disk.
func (v *voters) report() peer.RosterUpdate {
	durable := v.hub.durableVersions()
	return peer.RosterUpdate{
		Host: v.hub.Settings.Host, Replica: v.hub.replica.Quorum.Status().ID, FleetVersion: durable.Fleet, OutageVersion: durable.Outage, RolloutVersion: durable.Rollout,
		Serves: v.hub.hasMajorityContact(), Served: v.hub.watchers.servedCount(), ReadsRenewals: true,
		SilentVoters: v.hub.membership.silence.silentVoters(),
	}
}

// run tells the other hubs until ctx ends of each operator's change that is on this hub's disk.
func (v *voters) run(ctx context.Context) {
	var last operatorVersions
	for {
		changed := v.hub.replica.Machine.Changed()
		if durable := v.hub.durableVersions(); durable != last {
			last = durable
			v.hub.gossip.broadcast(v.report())
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// record records a message of another hub.
func (v *voters) record(m peer.RosterUpdate) {
	if m.Replica == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	report := v.reports[m.Replica]
	report.HeardAt = v.hub.Clock.Now()
	durable := report.Durable.latest(operatorVersions{Fleet: m.FleetVersion, Outage: m.OutageVersion, Rollout: m.RolloutVersion})
	if durable != report.Durable {
		close(v.changed)
		v.changed = make(chan struct{})
	}
	report.Durable = durable
	v.reports[m.Replica] = report
}

// refresh notes that this hub runs, and forgets replicas that are no members.
func (v *voters) refresh() {
	members := map[string]bool{}
	for _, member := range v.hub.replica.Quorum.Status().Members {
		members[member.ID] = true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notePause()
	v.refreshedAt = v.hub.Clock.Now()
	for id, report := range v.reports {
		if !members[id] && report.isSilent(v.refreshedAt) {
			delete(v.reports, id)
		}
	}
}

// notePause notes whether this hub stood still. The caller must hold v.mu.
func (v *voters) notePause() {
	if now := v.hub.Clock.Now(); now.Sub(v.refreshedAt) > maxHubPause {
		v.awakeSince, v.refreshedAt = now, now
	}
}

// current returns the reports of the voters. One that was never heard of counts as heard of
// when this hub started.
func (v *voters) current() []voterReport {
	status := v.hub.replica.Quorum.Status()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notePause()
	var current []voterReport
	for _, member := range status.Members {
		if !member.Voter {
			continue
		}
		report := v.reports[member.ID]
		report.ID, report.Host = member.ID, member.Host
		if report.HeardAt.Before(v.awakeSince) {
			report.HeardAt = v.awakeSince
		}
		if member.ID == status.ID {
			report.HeardAt, report.Durable = v.hub.Clock.Now(), v.hub.durableVersions()
		}
		current = append(current, report)
	}
	return current
}

// noteMissed notes the voters that don't have a change in time.
func (v *voters) noteMissed(change operatorVersions, missing []voterReport) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, voter := range missing {
		report := v.reports[voter.ID]
		report.noteMissed(change)
		v.reports[voter.ID] = report
	}
}

// awaitCopies waits until all voters in contact have a committed change on their disks, for at
// most durableCopiesTimeout. It returns ErrUnavailable if ctx ends before.
func (v *voters) awaitCopies(ctx context.Context, change operatorVersions) (durableCopies, error) {
	begun := v.hub.Clock.Now()
	ticker := v.hub.Clock.NewTicker(propagationPollInterval)
	defer ticker.Stop()
	for {
		recorded, applied := v.recorded(), v.hub.replica.Machine.Changed()
		now := v.hub.Clock.Now()
		copies := countCopies(now, begun, change, v.current())
		if copies.IsComplete {
			if now.Sub(begun) >= durableCopiesTimeout {
				v.noteMissed(change, copies.Missing)
			}
			return copies, nil
		}
		select {
		case <-ctx.Done():
			return copies, errors.Wrapf(protocol.ErrUnavailable, "the change is committed, but the call ended before other voters had it: %v", ctx.Err())
		case <-recorded:
		case <-applied:
		case <-ticker.Chan():
		}
	}
}

// recorded returns a channel that is closed when another voter reports a change.
func (v *voters) recorded() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// completeChange returns once a committed change of an operator may be acknowledged: the voters
// in contact have it on their disks, or had time for it, and wait, which runs meanwhile, has
// returned. It logs on how many disks the change is, and returns ErrUnavailable if ctx ends
// before, or the error of wait.
func (v *voters) completeChange(ctx context.Context, change operatorVersions, wait func() error) error {
	var copies durableCopies
	var copiesErr error
	var counted sync.WaitGroup
	counted.Go(func() { copies, copiesErr = v.awaitCopies(ctx, change) })
	err := wait()
	counted.Wait()
	if err != nil {
		return err
	}
	if copiesErr != nil {
		return copiesErr
	}
	var missing []string
	for _, voter := range copies.Missing {
		missing = append(missing, voter.Host)
	}
	total := copies.Count + len(missing)
	v.hub.log.WithFields(map[string]any{
		"FleetVersion": change.Fleet, "OutageVersion": change.Outage, "Copies": copies.Count, "Voters": total, "Missing": missing,
	}).Infof("Operator's change is acknowledged with durable copies at %d of %d voters.", copies.Count, total)
	return nil
}
