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

// Bounds on what waits for the replica's goroutine.
const (
	maxInboxMessages = 8192
	maxInboxBytes    = 64 << 20
)

// Replica runs a Node over a Storage, a Transport and a Machine. Its methods
// are safe for concurrent use. It implements Log.
type Replica struct {
	config    Config
	storage   Storage
	transport Transport
	machine   StateMachine
	clock     clockwork.Clock
	logger    *logrus.Logger
	onChange  func(Leadership)

	// What follows up to mu belongs to the replica's goroutine.
	node    *Node
	pending *Ready
	failure error
	// writing is set while a goroutine saves the pending work, since writeStart.
	writing    bool
	writeStart time.Time
	host       string
	waits      map[uint64]*proposal
	applied    appliedCount
	barriers   barriers
	watches    []*watch
	rounds     rounds
	contacts   map[string]time.Time

	mu         sync.Mutex
	stopped    bool
	inbox      []Message
	inboxBytes int
	queue      []*proposal
	queueBytes int
	asks       []*barrier
	newWatches []*watch
	published  published

	// written brings the outcome of the write under way.
	written chan error
	wake    chan struct{}
	notices chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

// appliedCount is what was applied since the last snapshot.
type appliedCount struct {
	term    uint64
	entries uint64
	bytes   int
}

// Start runs a replica on what the storage holds. An empty storage gets a fresh
// identity and waits to be added to a cluster. Start returns ErrHostMismatch for
// a disk of another host and ErrClusterMismatch for one of another cluster.
func Start(config Config, storage Storage, transport Transport, machine StateMachine, options ...Option) (*Replica, error) {
	config = config.withDefaults()
	state, snapshot, entries, err := identify(storage, config.Cluster, config.Host)
	if err != nil {
		return nil, errors.Wrapf(err, "start the replica of host %q", config.Host)
	}
	if config.Node.Seed == 0 {
		config.Node.Seed = rand.Uint64()
	}
	r := &Replica{
		config: config, storage: storage, transport: transport, machine: machine,
		clock: clockwork.NewRealClock(), logger: logs.Discard(),
		node:  NewNode(config.Node, state, snapshot, entries),
		host:  state.Host,
		waits: map[uint64]*proposal{}, contacts: map[string]time.Time{},
		written: make(chan error, 1), wake: make(chan struct{}, 1), notices: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	// Answers to the barriers of an earlier run must not match.
	r.barriers.lastID = rand.Uint64()
	for _, option := range options {
		option(r)
	}
	if err := r.restore(snapshot); err != nil {
		return nil, err
	}
	r.publish()
	// What was committed before the restart is applied at once.
	r.signal()
	go r.run()
	go r.notify()
	return r, nil
}

// restore gives the machine a snapshot's state; the one of an empty bootstrap
// has none.
func (r *Replica) restore(s Snapshot) error {
	if s.Index <= firstIndex && len(s.Data) == 0 {
		return nil
	}
	return wrapf(r.machine.Restore(s.Data), "restore the snapshot at index %d", s.Index)
}

// Stop ends the replica's goroutines. Commands without an outcome return
// ErrUnknownOutcome. A leader should call TransferLeadership before.
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

// Deliver hands over messages that arrived for this replica. It does not block;
// messages over a bound are dropped, as a network may.
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

// messageSize is about what the message takes in memory.
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

// Propose implements Log. ErrNotLeader, ErrQueueFull, ErrCommandTooLarge and ErrStopped mean
// that the command has no effect; ErrUnknownOutcome that it may have one.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > r.config.MaxCommandBytes {
		return nil, errors.Wrapf(ErrCommandTooLarge, "%d of %d bytes", len(command), r.config.MaxCommandBytes)
	}
	return r.propose(ctx, &proposal{command: command, done: make(chan outcome, 1)})
}

// signal wakes the replica's goroutine.
func (r *Replica) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run is the replica's goroutine.
func (r *Replica) run() {
	ticker := r.clock.NewTicker(r.config.TickInterval)
	defer ticker.Stop()
	defer close(r.done)
	for {
		select {
		case <-r.stop:
			r.finish()
			return
		case <-ticker.Chan():
			r.work(true)
		case <-r.wake:
			// Callers that were just answered may have more to add to the batch.
			runtime.Gosched()
			r.work(false)
		case err := <-r.written:
			r.endWrite(err)
		}
	}
}

// work handles everything that waits, as one batch.
func (r *Replica) work(tick bool) {
	// After a pause of the process an ended write must not count as a stalled one.
	select {
	case err := <-r.written:
		r.endWrite(err)
	default:
	}
	now := r.clock.Now()
	batch := r.take()
	if r.failure != nil {
		r.workFailed(tick, batch)
		return
	}
	if tick && (r.node.Role() == Leader || !r.stalled(now)) {
		r.node.Tick()
	}
	// A lone replica sends no message that would record its round.
	r.rounds.sent(r.node.HeartbeatRound(), now)
	for _, m := range batch.messages {
		if findMember(r.node.Members(), m.From) >= 0 {
			r.contacts[m.From] = now
		}
		r.node.Step(m)
	}
	for _, p := range batch.proposals {
		r.begin(p)
	}
	r.watches = append(r.watches, batch.watches...)
	r.barriers.add(batch.barriers)
	r.barriers.ask(r.node, tick)
	if r.writing {
		r.beside(now)
	} else {
		r.drain(now)
	}
	r.checkWatches()
	if !r.writing && r.node.HasReady() {
		r.signal()
	}
	if tick {
		r.publish()
	}
}

// workFailed waits for the storage to take the pending write.
func (r *Replica) workFailed(tick bool, b batch) {
	for _, p := range b.proposals {
		r.settle(p, outcome{err: errors.Join(ErrNotLeader, r.failure)})
	}
	r.barriers.add(b.barriers)
	r.watches = append(r.watches, b.watches...)
	if tick && !r.writing {
		r.drain(r.clock.Now())
	}
	r.checkWatches()
}

// batch is what waited for the replica's goroutine.
type batch struct {
	messages  []Message
	proposals []*proposal
	barriers  []*barrier
	watches   []*watch
}

func (r *Replica) take() batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := batch{messages: r.inbox, proposals: r.queue, barriers: r.asks, watches: r.newWatches}
	r.inbox, r.inboxBytes, r.queue, r.asks, r.newWatches = nil, 0, nil, nil, nil
	return b
}

// finish answers everything that waits.
func (r *Replica) finish() {
	if r.writing {
		// Whoever stopped the replica closes the storage next.
		<-r.written
	}
	b := r.take()
	for _, p := range b.proposals {
		r.settle(p, outcome{err: ErrStopped})
	}
	for _, p := range r.waits {
		r.settle(p, outcome{err: errors.Join(ErrUnknownOutcome, ErrStopped)})
	}
	r.barriers.add(b.barriers)
	r.barriers.fail(ErrStopped)
	for _, w := range append(r.watches, b.watches...) {
		w.done <- ErrStopped
	}
	r.node.StepDown()
	r.publish()
}
