package quorum

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/common/logs"
)

// Limits on messages that wait for the replica's goroutine.
const (
	maxInboxMessages = 8192
	maxInboxBytes    = 64 << 20
)

// Replica runs a Node with a Storage, a Transport and a StateMachine. Its
// methods are safe for concurrent use. It implements Log.
type Replica struct {
	config    Config
	storage   Storage
	transport Transport
	machine   StateMachine
	clock     clockwork.Clock
	logger    *logrus.Logger
	onChange  func(Leadership)

	// The fields from here to mu are used only by the replica's goroutine.
	node *Node
	// pending is the node's work that is not completed yet; nil if there is
	// none.
	pending *Ready
	// storageError is set while the storage rejects writes.
	storageError error
	// writing is set while another goroutine saves the pending work; writeStart
	// is when that write started.
	writing    bool
	writeStart time.Time
	host       string
	// isNew is set if Start created the ID.
	isNew bool
	// pendingProposals are the proposals without an outcome, by log index.
	pendingProposals map[uint64]*proposal
	applied          appliedStats
	barriers         barrierQueue
	waiters          []*conditionWaiter
	rounds           heartbeatRounds
	// lastContact is when the last message of each member arrived, by replica
	// ID.
	lastContact map[string]time.Time

	// mu protects the fields from here to published.
	mu          sync.Mutex
	stopped     bool
	inbox       []Message
	inboxBytes  int
	queue       []*proposal
	queueBytes  int
	newBarriers []*barrier
	newWaiters  []*conditionWaiter
	newLost     []string
	// newProvedLost is the argument of the last AllowRecovery that the goroutine has not
	// taken yet; nil for none.
	newProvedLost *[]LostVoter
	published     published

	// writeResult receives the outcome of the write in progress.
	writeResult  chan error
	wake         chan struct{}
	changeSignal chan struct{}
	stop         chan struct{}
	done         chan struct{}
}

// appliedStats counts what was applied since the last snapshot; term is the
// term of the last applied entry.
type appliedStats struct {
	term    uint64
	entries uint64
	bytes   int
}

// Start runs a replica with the contents of the storage. An empty storage gets
// a new ID, and its replica waits to be added to a cluster. Start returns
// ErrHostMismatch for the storage of another host and ErrClusterMismatch for
// that of another cluster.
func Start(config Config, storage Storage, transport Transport, machine StateMachine, options ...Option) (*Replica, error) {
	config = config.withDefaults()
	state, snapshot, entries, created, err := loadOrCreateIdentity(storage, config.Cluster, config.Host)
	if err != nil {
		return nil, errors.Wrapf(err, "start the replica of host %q", config.Host)
	}
	if config.Node.Seed == 0 {
		config.Node.Seed = rand.Uint64()
	}
	r := &Replica{
		config: config, storage: storage, transport: transport, machine: machine,
		clock: clockwork.NewRealClock(), logger: logs.Discard(),
		node:             NewNode(config.Node, state, snapshot, entries),
		host:             state.Host,
		isNew:            created,
		pendingProposals: map[uint64]*proposal{}, lastContact: map[string]time.Time{},
		writeResult: make(chan error, 1), wake: make(chan struct{}, 1), changeSignal: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	// Responses to read barriers from before a restart must not match.
	r.barriers.lastID = rand.Uint64()
	for _, option := range options {
		option(r)
	}
	r.logIdentity(state, snapshot, entries)
	if err := r.restoreMachine(snapshot); err != nil {
		return nil, err
	}
	r.publish()
	// Entries committed before the restart are applied immediately.
	r.signal()
	go r.run()
	go r.runNotifier()
	return r, nil
}

// logIdentity logs what the storage held when the replica started.
func (r *Replica) logIdentity(state HardState, snapshot Snapshot, entries []Entry) {
	if r.isNew {
		r.logger.Infof("Identity changed: replica %s is new, since the storage held none.", state.ID)
		return
	}
	last := snapshot.Index
	if len(entries) > 0 {
		last = entries[len(entries)-1].Index
	}
	r.logger.Infof("Identity loaded: replica %s of cluster %q and host %q, term %d, vote %q, commit index %d, snapshot index %d, last index %d.",
		state.ID, state.Cluster, state.Host, state.Term, state.Vote, state.Commit, snapshot.Index, last)
}

// IsNew reports whether Start found no identity in the storage and created one.
func (r *Replica) IsNew() bool { return r.isNew }

// restoreMachine restores the state machine from a snapshot. The snapshot of an
// empty bootstrap has no data.
func (r *Replica) restoreMachine(s Snapshot) error {
	if s.Index <= firstIndex && len(s.Data) == 0 {
		return nil
	}
	return wrapf(r.machine.Restore(s.Data), "restore the snapshot at index %d", s.Index)
}

// Stop ends the replica's goroutines. Commands without an outcome return
// ErrUnknownOutcome. A leader should call TransferLeadership first.
func (r *Replica) Stop() {
	r.mu.Lock()
	first := !r.stopped
	r.stopped = true
	r.mu.Unlock()
	if first {
		close(r.stop)
	}
	<-r.done
}

// Deliver queues messages that arrived for this replica. It does not block;
// messages that exceed the limits are dropped, as on a network.
func (r *Replica) Deliver(messages []Message) {
	r.mu.Lock()
	for i := range messages {
		size := messageSize(&messages[i])
		if r.stopped || len(r.inbox) >= maxInboxMessages || r.inboxBytes+size > maxInboxBytes {
			break
		}
		r.inbox = append(r.inbox, messages[i])
		r.inboxBytes += size
	}
	r.mu.Unlock()
	r.signal()
}

// ReportLost reports that the replica with the ID never responds again, because its disk
// is gone. After a restart of all others they then elect a leader without waiting for
// the election timeout.
func (r *Replica) ReportLost(id string) {
	r.mu.Lock()
	r.newLost = append(r.newLost, id)
	r.mu.Unlock()
	r.signal()
}

// AllowRecovery replaces the set of voters that are proved to be lost, as Node.AllowRecovery
// does. The proof must hold at the time of the call: a voter that is only cut off or
// stands still is not lost.
func (r *Replica) AllowRecovery(lost []LostVoter) {
	r.mu.Lock()
	r.newProvedLost = &lost
	r.mu.Unlock()
	r.signal()
}

// messageSize returns the approximate size of the message in memory.
func messageSize(m *Message) int {
	const overhead = 256
	size := overhead
	for i := range m.Entries {
		size += entrySize(&m.Entries[i])
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data)
	}
	return size
}

// Propose implements Log. An error that matches ErrUnknownOutcome means that the
// command may have an effect, also if it matches ErrStopped as well. ErrNotLeader,
// ErrQueueFull, ErrCommandTooLarge and ErrStopped alone mean that it has none.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > r.config.MaxCommandBytes {
		return nil, errors.Wrapf(ErrCommandTooLarge, "%d bytes, at most %d are allowed", len(command), r.config.MaxCommandBytes)
	}
	return r.propose(ctx, &proposal{command: command, done: make(chan outcome, 1)})
}

// signal wakes up the replica's goroutine.
func (r *Replica) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run is the main loop of the replica's goroutine.
func (r *Replica) run() {
	ticker := r.clock.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	defer close(r.done)
	for {
		select {
		case <-r.stop:
			r.shutDown()
			return
		case <-ticker.Chan():
			r.processBatch(true)
		case <-r.wake:
			// Callers that just received their results may add further commands
			// to this batch.
			runtime.Gosched()
			r.processBatch(false)
		case err := <-r.writeResult:
			r.finishWrite(err)
		}
	}
}

// processBatch handles everything that is queued as one batch.
func (r *Replica) processBatch(tick bool) {
	// A write that ended during a pause of the process must not count as
	// stalled.
	select {
	case err := <-r.writeResult:
		r.finishWrite(err)
	default:
	}
	now := r.clock.Now()
	batch := r.takeBatch()
	if r.storageError != nil {
		r.processBatchDuringStorageError(tick, batch)
		return
	}
	if tick && (r.node.Role() == Leader || !r.writeStalled(now)) {
		r.node.Tick()
	}
	// A single replica sends no message that would record its heartbeat round.
	r.rounds.record(r.node.HeartbeatRound(), now)
	for _, id := range batch.lost {
		r.node.ReportLost(id)
	}
	if batch.provedLost != nil {
		r.node.AllowRecovery(*batch.provedLost)
	}
	for _, m := range batch.messages {
		if findMember(r.node.Members(), m.From) >= 0 {
			r.lastContact[m.From] = now
		}
		r.node.Step(m)
	}
	for _, p := range batch.proposals {
		r.startProposal(p)
	}
	r.waiters = append(r.waiters, batch.waiters...)
	r.barriers.add(batch.barriers)
	r.barriers.requestReadIndexes(r.node, tick)
	if r.writing {
		r.sendDuringWrite(now)
	} else {
		r.processReady(now)
	}
	r.checkWaiters()
	if !r.writing && r.node.HasReady() {
		r.signal()
	}
	if tick {
		r.publish()
	}
}

// processBatchDuringStorageError handles a batch while the storage rejects
// writes: it rejects proposals and retries the pending write with each tick.
func (r *Replica) processBatchDuringStorageError(tick bool, b batch) {
	for _, p := range b.proposals {
		r.finishProposal(p, outcome{err: errors.Join(ErrNotLeader, r.storageError)})
	}
	r.barriers.add(b.barriers)
	r.waiters = append(r.waiters, b.waiters...)
	if tick && !r.writing {
		r.processReady(r.clock.Now())
	}
	r.checkWaiters()
}

// batch is the input queued for the replica's goroutine.
type batch struct {
	messages  []Message
	proposals []*proposal
	barriers  []*barrier
	waiters   []*conditionWaiter
	lost      []string
	// provedLost is the argument of AllowRecovery; nil if it was not called.
	provedLost *[]LostVoter
}

func (r *Replica) takeBatch() batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := batch{messages: r.inbox, proposals: r.queue, barriers: r.newBarriers, waiters: r.newWaiters, lost: r.newLost, provedLost: r.newProvedLost}
	r.inbox, r.inboxBytes, r.queue, r.newBarriers, r.newWaiters, r.newLost, r.newProvedLost = nil, 0, nil, nil, nil, nil, nil
	return b
}

// shutDown completes all pending calls.
func (r *Replica) shutDown() {
	if r.writing {
		// The owner closes the storage after Stop returns, so the write has to
		// end first.
		<-r.writeResult
	}
	b := r.takeBatch()
	for _, p := range b.proposals {
		r.finishProposal(p, outcome{err: ErrStopped})
	}
	for _, p := range r.pendingProposals {
		r.finishProposal(p, outcome{err: errors.Join(ErrUnknownOutcome, ErrStopped)})
	}
	r.barriers.add(b.barriers)
	r.barriers.fail(ErrStopped)
	for _, w := range append(r.waiters, b.waiters...) {
		w.done <- ErrStopped
	}
	r.node.StepDown()
	r.publish()
}
