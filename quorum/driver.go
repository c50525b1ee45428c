package quorum

import (
	"time"

	"github.com/go-faster/errors"
)

// stalledWriteTicks is the number of ticks after which a write counts as
// stalled and the leader transfers its leadership. It is above the 390 ms that
// a write took on a heavily used disk and below the confirmation window.
const stalledWriteTicks = 10

// processReady does the node's pending work until nothing is left or a write is
// in progress: send, save, send, apply. The messages of a batch share one
// write.
func (r *Replica) processReady(now time.Time) {
	for !r.writing && (r.pending != nil || r.node.HasReady()) {
		if r.pending == nil {
			r.takeReady(now)
		}
		if r.pending.MustSave {
			r.startWrite()
			break
		}
		if err := r.completeReady(); err != nil {
			r.handleStorageError(err)
			return
		}
	}
	r.publishLeadership()
}

// startWrite saves the pending work in another goroutine, so that a slow disk
// does not delay heartbeats.
func (r *Replica) startWrite() {
	r.writing, r.writeStart = true, r.clock.Now()
	pending := r.pending
	go func() { r.writeResult <- r.save(pending) }()
}

// finishWrite continues the work that waited for the write.
func (r *Replica) finishWrite(err error) {
	r.writing = false
	now := r.clock.Now()
	if err == nil {
		err = r.completeReady()
	}
	if err != nil {
		r.handleStorageError(err)
		return
	}
	r.processReady(now)
	r.checkWaiters()
}

// completeReady does the work that follows the write, or that needs no write.
func (r *Replica) completeReady() error {
	if r.pending.InstallSnapshot != nil {
		if err := r.restoreMachine(*r.pending.InstallSnapshot); err != nil {
			return err
		}
	}
	r.clearStorageError()
	r.send(r.pending.MessagesAfterSave)
	r.apply(r.pending)
	r.barriers.confirm(r.pending.ReadStates)
	r.pending = nil
	r.node.Advance()
	r.barriers.releaseApplied(r.node.AppliedIndex())
	r.snapshotIfDue()
	return nil
}

// sendDuringWrite sends heartbeats and their acknowledgements while a write is
// in progress.
func (r *Replica) sendDuringWrite(now time.Time) {
	r.transferIfWriteStalled(now)
	messages := r.node.UrgentMessages()
	r.rounds.record(r.node.HeartbeatRound(), now)
	r.publishLeadership()
	r.send(messages)
}

// writeStalled reports whether the write in progress takes so long that the
// disk may never respond.
func (r *Replica) writeStalled(now time.Time) bool {
	return r.writing && now.Sub(r.writeStart) >= stalledWriteTicks*r.config.TickInterval
}

// transferIfWriteStalled transfers the leadership if a local write has stalled,
// and steps down if no other replica has taken over after the same time again.
func (r *Replica) transferIfWriteStalled(now time.Time) {
	if r.node.Role() != Leader || !r.writeStalled(now) || voterCount(r.node.Members()) == 1 {
		return
	}
	if now.Sub(r.writeStart) >= 2*stalledWriteTicks*r.config.TickInterval {
		r.logger.Warnf("Storage write is pending for %s and no other replica has taken over leadership, stepping down.", now.Sub(r.writeStart))
		r.node.StepDown()
		return
	}
	to := r.node.MostUpToDateVoter()
	if to == "" || r.node.TransferInProgress() {
		return
	}
	r.logger.Warnf("Storage write is pending for %s, transferring leadership to replica %s.", now.Sub(r.writeStart), to)
	if err := r.node.TransferLeadership(to); err != nil {
		r.logger.Warnf("Leadership transfer failed: %v.", err)
	}
}

// takeReady takes the node's next work and sends the messages that need no
// write. The leadership is published first, because a message may give it up.
func (r *Replica) takeReady(now time.Time) {
	ready := r.node.Ready()
	r.rounds.record(r.node.HeartbeatRound(), now)
	r.pending = &ready
	r.publishLeadership()
	r.send(ready.Messages)
}

func (r *Replica) send(messages []Message) {
	if len(messages) > 0 {
		r.transport.Send(messages)
	}
}

// save makes the node's write durable. A snapshot is written first: the commit
// index of the hard state may cover it, and the entries that it replaces are
// not committed.
func (r *Replica) save(ready *Ready) error {
	if !ready.MustSave {
		return nil
	}
	if ready.InstallSnapshot != nil {
		if err := r.storage.SaveSnapshot(*ready.InstallSnapshot); err != nil {
			return errors.Wrap(err, "save the leader's snapshot")
		}
	}
	return wrapf(r.storage.Save(ready.HardState, ready.Entries), "save the state and entries")
}

// handleStorageError steps down until the storage accepts the pending write.
// Nothing in that write was acknowledged; it is retried with each tick.
func (r *Replica) handleStorageError(err error) {
	if r.storageError == nil {
		r.logger.Errorf("Storage rejects writes, stepping down: %v.", err)
	}
	r.storageError = errors.Join(ErrStorage, err)
	r.node.StepDown()
	r.publish()
}

// clearStorageError ends a storage failure after a successful write.
func (r *Replica) clearStorageError() {
	if r.storageError != nil {
		r.logger.Warnf("Storage accepts writes again.")
		r.storageError = nil
	}
}

// apply passes committed commands to the state machine and their results to the
// proposers.
func (r *Replica) apply(ready *Ready) {
	if ready.InstallSnapshot != nil {
		r.applied = appliedStats{term: r.applied.term}
		r.resolveSnapshotted(ready.InstallSnapshot)
	}
	for i := range ready.CommittedEntries {
		e := &ready.CommittedEntries[i]
		var result []byte
		if e.Kind == EntryCommand {
			result = r.machine.Apply(e.Index, e.Term, e.Data)
		}
		r.applied.entries++
		r.applied.bytes += entrySize(e)
		r.resolveApplied(e, result)
	}
}

// snapshotIfDue creates a snapshot and truncates the log after enough entries
// or bytes were applied.
func (r *Replica) snapshotIfDue() {
	if r.applied.entries < r.config.SnapshotEntries && r.applied.bytes < r.config.SnapshotBytes {
		return
	}
	if r.node.InstallingSnapshot() {
		return
	}
	r.applied.entries, r.applied.bytes = 0, 0
	data, err := r.machine.Snapshot()
	if err != nil {
		r.logger.Errorf("Failed to create the snapshot at index %d: %v.", r.node.AppliedIndex(), err)
		return
	}
	snapshot := r.node.MakeSnapshot(data)
	if err := r.storage.SaveSnapshot(snapshot); err != nil {
		r.logger.Errorf("Failed to save the snapshot at index %d: %v.", snapshot.Index, err)
		return
	}
	r.node.Compact(snapshot, r.config.RetainedEntries)
}

// heartbeatRounds records when heartbeat rounds were started.
type heartbeatRounds struct {
	last   uint64
	starts []roundStart
}

type roundStart struct {
	round uint64
	at    time.Time
}

// maxRecordedRounds limits the recorded rounds; older ones can no longer
// confirm the leadership.
const maxRecordedRounds = 4096

// record stores a start time that is no later than the round's first message.
func (r *heartbeatRounds) record(round uint64, at time.Time) {
	if round <= r.last {
		return
	}
	r.last = round
	r.starts = append(r.starts, roundStart{round: round, at: at})
	if len(r.starts) > maxRecordedRounds {
		r.starts = append([]roundStart(nil), r.starts[len(r.starts)-maxRecordedRounds/2:]...)
	}
}

// startTime returns when the latest recorded round up to this one was started,
// and drops older ones; zero if unknown.
func (r *heartbeatRounds) startTime(round uint64) time.Time {
	newest := -1
	for i, t := range r.starts {
		if t.round > round {
			break
		}
		newest = i
	}
	if newest < 0 {
		return time.Time{}
	}
	r.starts = r.starts[newest:]
	return r.starts[0].at
}
