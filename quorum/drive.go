package quorum

import (
	"time"

	"github.com/go-faster/errors"
)

// drain does what the node asks for until nothing is left: send, save, send,
// apply. The messages of a batch share one write.
func (r *Replica) drain(now time.Time) {
	for r.pending != nil || r.node.HasReady() {
		if r.pending == nil {
			r.takeReady(now)
		}
		if err := r.save(r.pending); err != nil {
			r.fail(err)
			return
		}
		r.recovered()
		r.send(r.pending.AfterSave)
		r.apply(r.pending)
		r.barriers.confirm(r.pending.Reads)
		r.pending = nil
		r.node.Advance()
		r.barriers.release(r.node.AppliedIndex())
		r.snapshotIfDue()
	}
	r.publishLead()
}

// takeReady takes the node's next work and sends what needs no write. The lead
// is published first, since a message may give it up.
func (r *Replica) takeReady(now time.Time) {
	ready := r.node.Ready()
	r.rounds.sent(r.node.Round(), now)
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
	if ready.Install != nil {
		if err := r.storage.SaveSnapshot(*ready.Install); err != nil {
			return errors.Wrap(err, "save the leader's snapshot")
		}
	}
	if err := r.storage.Save(ready.HardState, ready.Entries); err != nil {
		return errors.Wrap(err, "save the state and entries")
	}
	if ready.Install != nil {
		return r.restore(*ready.Install)
	}
	return nil
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
	if ready.Install != nil {
		r.applied = appliedCount{term: r.applied.term}
		r.skipTo(ready.Install)
	}
	for i := range ready.Committed {
		e := &ready.Committed[i]
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
	r.node.Compact(snapshot, r.config.KeepEntries)
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
