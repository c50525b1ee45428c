package quorum

import (
	"time"

	"github.com/go-faster/errors"
)

// stallTicks is how many ticks a write may take before the leader hands the lead
// over: above the 390 ms that a write took beside heavy use of the disk, below
// the confirm window.
const stallTicks = 10

// drain does what the node asks for until nothing is left or a write is under
// way: send, save, send, apply. The messages of a batch share one write.
func (r *Replica) drain(now time.Time) {
	for !r.writing && (r.pending != nil || r.node.HasReady()) {
		if r.pending == nil {
			r.takeReady(now)
		}
		if r.pending.MustSave {
			r.startWrite()
			break
		}
		if err := r.complete(); err != nil {
			r.fail(err)
			return
		}
	}
	r.publishLead()
}

// startWrite saves the pending work beside the replica's goroutine, so that a
// slow disk delays no heartbeat.
func (r *Replica) startWrite() {
	r.writing, r.writeStart = true, r.clock.Now()
	pending := r.pending
	go func() { r.written <- r.save(pending) }()
}

// endWrite goes on with what waited for the write.
func (r *Replica) endWrite(err error) {
	r.writing = false
	now := r.clock.Now()
	if err == nil {
		err = r.complete()
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.drain(now)
	r.checkWatches()
}

// complete does what follows the write, if there was one.
func (r *Replica) complete() error {
	if r.pending.InstallSnapshot != nil {
		if err := r.restore(*r.pending.InstallSnapshot); err != nil {
			return err
		}
	}
	r.recovered()
	r.send(r.pending.MessagesAfterSave)
	r.apply(r.pending)
	r.barriers.confirm(r.pending.ReadStates)
	r.pending = nil
	r.node.Advance()
	r.barriers.release(r.node.AppliedIndex())
	r.snapshotIfDue()
	return nil
}

// beside sends heartbeats and their answers while a write is in progress.
func (r *Replica) beside(now time.Time) {
	r.giveUpStalled(now)
	urgent := r.node.UrgentMessages()
	r.rounds.sent(r.node.HeartbeatRound(), now)
	r.publishLead()
	r.send(urgent)
}

// stalled tells whether the write under way takes so long that the disk may not
// answer at all.
func (r *Replica) stalled(now time.Time) bool {
	return r.writing && now.Sub(r.writeStart) >= stallTicks*r.config.TickInterval
}

// giveUpStalled hands the lead over if the own disk stalls, and steps down if
// nobody takes it in the same time again.
func (r *Replica) giveUpStalled(now time.Time) {
	if r.node.Role() != Leader || !r.stalled(now) || voterCount(r.node.Members()) == 1 {
		return
	}
	if now.Sub(r.writeStart) >= 2*stallTicks*r.config.TickInterval {
		r.logger.Warnf("A write takes longer than %s and nobody took the lead over, stepping down.", now.Sub(r.writeStart))
		r.node.StepDown()
		return
	}
	to := r.node.MostUpToDateVoter()
	if to == "" || r.node.TransferInProgress() {
		return
	}
	r.logger.Warnf("A write takes longer than %s, handing the lead over to %s.", now.Sub(r.writeStart), to)
	if err := r.node.TransferLeadership(to); err != nil {
		r.logger.Warnf("The lead is not handed over: %v.", err)
	}
}

// takeReady takes the node's next work and sends what needs no write. The lead
// is published first, since a message may give it up.
func (r *Replica) takeReady(now time.Time) {
	ready := r.node.Ready()
	r.rounds.sent(r.node.HeartbeatRound(), now)
	r.pending = &ready
	r.publishLead()
	r.send(ready.Messages)
}

func (r *Replica) send(messages []Message) {
	if len(messages) > 0 {
		r.transport.Send(messages)
	}
}

// save makes the node's write durable. A snapshot goes first: the state's commit
// index may cover it, and the entries that it replaces are not committed.
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

// fail gives the lead up until the storage takes the pending write. Nothing of
// it was acknowledged; it is tried again with each tick.
func (r *Replica) fail(err error) {
	if r.failure == nil {
		r.logger.Errorf("Storage refuses writes, stepping down: %v.", err)
	}
	r.failure = errors.Join(ErrStorage, err)
	r.node.StepDown()
	r.publish()
}

// recovered ends a storage failure.
func (r *Replica) recovered() {
	if r.failure != nil {
		r.logger.Warnf("Storage takes writes again.")
		r.failure = nil
	}
}

// apply gives committed commands to the machine and their results to those who
// proposed them.
func (r *Replica) apply(ready *Ready) {
	if ready.InstallSnapshot != nil {
		r.applied = appliedCount{term: r.applied.term}
		r.skipTo(ready.InstallSnapshot)
	}
	for i := range ready.CommittedEntries {
		e := &ready.CommittedEntries[i]
		var result []byte
		if e.Kind == EntryCommand {
			result = r.machine.Apply(e.Index, e.Term, e.Data)
		}
		r.applied.entries++
		r.applied.bytes += entrySize(e)
		r.resolve(e, result)
	}
}

// snapshotIfDue takes a snapshot and truncates the log when enough was applied.
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
		r.logger.Errorf("Snapshot at index %d failed: %v.", r.node.AppliedIndex(), err)
		return
	}
	snapshot := r.node.MakeSnapshot(data)
	if err := r.storage.SaveSnapshot(snapshot); err != nil {
		r.logger.Errorf("Snapshot at index %d is not saved: %v.", snapshot.Index, err)
		return
	}
	r.node.Compact(snapshot, r.config.RetainedEntries)
}

// rounds remembers when heartbeat rounds were started.
type rounds struct {
	last uint64
	at   []roundTime
}

type roundTime struct {
	round uint64
	at    time.Time
}

// maxRounds bounds the rounds remembered; older ones no longer confirm.
const maxRounds = 4096

// sent records a time no later than the round's first message.
func (r *rounds) sent(round uint64, at time.Time) {
	if round <= r.last {
		return
	}
	r.last = round
	r.at = append(r.at, roundTime{round: round, at: at})
	if len(r.at) > maxRounds {
		r.at = append([]roundTime(nil), r.at[len(r.at)-maxRounds/2:]...)
	}
}

// time returns when the newest recorded round up to this one was started, and
// forgets the older ones; zero if unknown.
func (r *rounds) time(round uint64) time.Time {
	newest := -1
	for i, t := range r.at {
		if t.round > round {
			break
		}
		newest = i
	}
	if newest < 0 {
		return time.Time{}
	}
	r.at = r.at[newest:]
	return r.at[0].at
}
