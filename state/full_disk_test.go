package state

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/ledger"
	"comfreytiller.dev/quorum"
)

const (
	// diskFullTime is how long each disk is full, commitLimit the time within which a command
	// is committed once the last has room again.
	diskFullTime = 4 * time.Second
	// maxPause is the longest time until the next disk is full.
	maxPause    = time.Second
	commitLimit = 4 * time.Second
	// startLimit includes the election after a start of all replicas.
	startLimit = 8 * time.Second
	// callTimeout limits one call of a replica.
	callTimeout = time.Second
	// Small limits make segments and snapshots change while a disk is full.
	testSegmentBytes    = 2 << 10
	testSnapshotEntries = 20
	testRetainedEntries = 5
)

// operation is a set of file operations.
type operation uint32

const (
	writeOperation operation = 1 << iota
	syncOperation
	truncateOperation
	createOperation
	renameOperation
	removeOperation
	syncDirOperation
	allOperations = 1<<iota - 1
)

// refusal is the file operations that a disk refuses, and the error that they return.
type refusal struct {
	operations operation
	cause      error
}

// refusingDisk is a file system without syncs whose operations can be refused.
type refusingDisk struct {
	ledger.FileSystem

	refusal atomic.Pointer[refusal]
}

func newRefusingDisk() *refusingDisk {
	return &refusingDisk{FileSystem: ledger.OSFileSystem()}
}

func (d *refusingDisk) check(o operation) error {
	if r := d.refusal.Load(); r != nil && r.operations&o != 0 {
		return r.cause
	}
	return nil
}

func (d *refusingDisk) Create(name string) (ledger.File, error) {
	if err := d.check(createOperation); err != nil {
		return nil, err
	}
	f, err := d.FileSystem.Create(name)
	return &refusingFile{File: f, disk: d}, err
}

func (d *refusingDisk) Open(name string) (ledger.File, error) {
	f, err := d.FileSystem.Open(name)
	return &refusingFile{File: f, disk: d}, err
}

func (d *refusingDisk) Rename(from, to string) error {
	if err := d.check(renameOperation); err != nil {
		return err
	}
	return d.FileSystem.Rename(from, to)
}

func (d *refusingDisk) Remove(name string) error {
	if err := d.check(removeOperation); err != nil {
		return err
	}
	return d.FileSystem.Remove(name)
}

func (d *refusingDisk) SyncDir(string) error { return d.check(syncDirOperation) }

type refusingFile struct {
	ledger.File

	disk *refusingDisk
}

// WriteAt writes a part of the content if it is refused.
func (f *refusingFile) WriteAt(content []byte, offset int64) (int, error) {
	if err := f.disk.check(writeOperation); err != nil {
		n, _ := f.File.WriteAt(content[:len(content)/2], offset)
		return n, err
	}
	return f.File.WriteAt(content, offset)
}

func (f *refusingFile) Truncate(size int64) error {
	if err := f.disk.check(truncateOperation); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f *refusingFile) Sync() error { return f.disk.check(syncOperation) }

// commandList is a state machine that lists the commands.
type commandList struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandList) Apply(_, _ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(command))
	return nil
}

func (l *commandList) Snapshot() ([]byte, error) { return json.Marshal(l.list()) }

func (l *commandList) Restore(snapshot []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = nil
	return json.Unmarshal(snapshot, &l.commands)
}

func (l *commandList) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.commands)
}

// diskReplica is a replica with its disk.
type diskReplica struct {
	*quorum.Replica

	host, dir string
	disk      *refusingDisk
	ledger    *ledger.Ledger
	commands  *commandList
}

// diskCluster runs replicas with ledgers in a synctest bubble. Their time is that of a fake
// clock, which advances by one tick once all replicas wait.
type diskCluster struct {
	t        *testing.T
	seed     uint64
	clock    *clockwork.FakeClock
	replicas []*diskReplica
	// changes are the coming changes of the disks, in order.
	changes []diskChange

	mu   sync.Mutex
	byID map[string]*quorum.Replica
}

// diskChange is when a disk begins to refuse operations; a nil refusal ends it.
type diskChange struct {
	at      time.Time
	disk    *refusingDisk
	refusal *refusal
}

// Send implements quorum.Transport.
func (c *diskCluster) Send(messages []quorum.Message) {
	for _, m := range messages {
		c.mu.Lock()
		to := c.byID[m.To]
		c.mu.Unlock()
		if to != nil {
			to.Deliver([]quorum.Message{m})
		}
	}
}

// newDiskCluster starts the voters and learners on disks with room.
func newDiskCluster(t *testing.T, seed uint64, voters, learners int) *diskCluster {
	c := &diskCluster{t: t, seed: seed, clock: clockwork.NewFakeClock(), byID: map[string]*quorum.Replica{}}
	var members []quorum.Member
	for i := range voters {
		host := fmt.Sprintf("h%d", i)
		members = append(members, quorum.Member{ID: "id-" + host, Host: host, Address: host + ":1", Voter: true})
	}
	for i := range voters + learners {
		r := &diskReplica{host: fmt.Sprintf("h%d", i), dir: t.TempDir(), disk: newRefusingDisk()}
		c.replicas = append(c.replicas, r)
		if i < voters {
			c.open(r)
			require.NoError(t, quorum.Bootstrap(quorum.NewLedgerStorage(r.ledger), "cluster", r.host, members))
			require.NoError(t, r.ledger.Close())
		}
		require.NoError(t, c.start(i))
	}
	for _, r := range c.replicas[voters:] {
		learner := quorum.Member{ID: r.Status().ID, Host: r.host, Address: r.host + ":1"}
		c.await(startLimit, "the learner is added", func() bool {
			leader := c.leader()
			return leader != nil && c.call(func(ctx context.Context) error { return leader.AddLearner(ctx, learner) }) == nil
		})
	}
	return c
}

func (c *diskCluster) open(r *diskReplica) {
	var err error
	r.ledger, err = ledger.Open(r.dir, ledger.WithFileSystem(r.disk), ledger.WithSegmentBytes(testSegmentBytes))
	require.NoError(c.t, err)
}

// start runs a replica on what its disk holds.
func (c *diskCluster) start(i int) error {
	r := c.replicas[i]
	c.open(r)
	r.commands = &commandList{}
	started, err := quorum.Start(quorum.Config{
		Host: r.host, Node: quorum.NodeConfig{Seed: c.seed*100 + uint64(i) + 1},
		SnapshotEntries: testSnapshotEntries, RetainedEntries: testRetainedEntries,
	}, quorum.NewLedgerStorage(r.ledger), c, r.commands, quorum.WithClock(c.clock))
	if err != nil {
		require.NoError(c.t, r.ledger.Close())
		return err
	}
	r.Replica = started
	c.mu.Lock()
	c.byID[started.Status().ID] = started
	c.mu.Unlock()
	return nil
}

func (c *diskCluster) stop() {
	for _, r := range c.replicas {
		r.Stop()
		require.NoError(c.t, r.ledger.Close())
	}
}

func (c *diskCluster) leader() *diskReplica {
	for _, r := range c.replicas {
		if leadership := r.Leadership(); leadership.IsLeader && leadership.Confirmed {
			return r
		}
	}
	return nil
}

// step waits until all replicas wait, and advances the time by one tick.
func (c *diskCluster) step() {
	synctest.Wait()
	for len(c.changes) > 0 && !c.clock.Now().Before(c.changes[0].at) {
		c.changes[0].disk.refusal.Store(c.changes[0].refusal)
		c.changes = c.changes[1:]
	}
	c.clock.Advance(quorum.DefaultTickInterval)
	synctest.Wait()
}

// call returns the outcome of a call, which is cancelled after callTimeout.
func (c *diskCluster) call(call func(context.Context) error) error {
	ctx, cancel := context.WithCancel(c.t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- call(ctx) }()
	for startedAt := c.clock.Now(); ; c.step() {
		synctest.Wait()
		select {
		case err := <-done:
			return err
		default:
		}
		if c.clock.Since(startedAt) >= callTimeout {
			cancel()
		}
	}
}

// propose commits a command at the leader and reports whether it was acknowledged.
func (c *diskCluster) propose(command string) bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	return c.call(func(ctx context.Context) error {
		_, err := leader.Propose(ctx, []byte(command))
		return err
	}) == nil
}

func (c *diskCluster) await(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for startedAt := c.clock.Now(); !condition(); c.step() {
		require.Less(c.t, c.clock.Since(startedAt), limit, "%s; %s", what, c.describe())
	}
}

// awaitCommit proposes commands until one is committed, and returns it.
func (c *diskCluster) awaitCommit(limit time.Duration, name string) (command string) {
	c.t.Helper()
	attempts := 0
	c.await(limit, "a command is committed "+name, func() bool {
		attempts++
		command = fmt.Sprintf("%s %d", name, attempts)
		return c.propose(command)
	})
	return command
}

func (c *diskCluster) describe() (all string) {
	for _, r := range c.replicas {
		status := r.Status()
		all += fmt.Sprintf("%s: term %d, commit %d, storage error %v\n", r.host, status.Term, status.CommitIndex, status.StorageError)
	}
	return all
}

// requireEqual waits until all replicas hold the same commands, and each of the acknowledged
// ones exactly once.
func (c *diskCluster) requireEqual(acknowledged []string) {
	c.t.Helper()
	c.await(commitLimit, "all replicas hold the same commands", func() bool {
		for _, r := range c.replicas {
			if r.Status().StorageError != nil || !slices.Equal(r.commands.list(), c.replicas[0].commands.list()) {
				return false
			}
		}
		return true
	})
	held := c.replicas[0].commands.list()
	count := map[string]int{}
	for _, command := range held {
		count[command]++
	}
	for _, command := range acknowledged {
		require.Equal(c.t, 1, count[command], "command %s", command)
	}
}

// fillDisks makes the disks refuse operations one after another while commands are
// proposed, and returns the acknowledged commands.
func (c *diskCluster) fillDisks(refuse func(*rand.Rand) refusal) (acknowledged []string) {
	random := rand.New(rand.NewPCG(c.seed, 0))
	at := c.clock.Now()
	for _, i := range random.Perm(len(c.replicas)) {
		at = at.Add(time.Duration(random.Int64N(int64(maxPause))))
		refused := refuse(random)
		c.changes = append(c.changes, diskChange{at, c.replicas[i].disk, &refused})
		at = at.Add(diskFullTime)
		c.changes = append(c.changes, diskChange{at, c.replicas[i].disk, nil})
	}
	for i := 0; len(c.changes) > 0; i++ {
		if command := fmt.Sprintf("command %d", i); c.propose(command) {
			acknowledged = append(acknowledged, command)
		}
		c.step()
	}
	return acknowledged
}

// Guards against a cluster that commits nothing any more: the disks were full one after
// another, and replicas kept refusing writes once theirs had room again.
func TestFullDisks_OneAfterAnotherThenCommits(t *testing.T) {
	const seeds = 10
	for name, refuse := range map[string]func(*rand.Rand) refusal{
		"writes":                 func(*rand.Rand) refusal { return refusal{writeOperation, syscall.ENOSPC} },
		"writes and truncations": func(*rand.Rand) refusal { return refusal{writeOperation | truncateOperation, syscall.ENOSPC} },
		"syncs":                  func(*rand.Rand) refusal { return refusal{syncOperation, syscall.ENOSPC} },
		"everything":             func(*rand.Rand) refusal { return refusal{allOperations, syscall.ENOSPC} },
		"quota":                  func(*rand.Rand) refusal { return refusal{allOperations, syscall.EDQUOT} },
		"faulty disk":            func(*rand.Rand) refusal { return refusal{allOperations, syscall.EIO} },
		"some operations": func(random *rand.Rand) refusal {
			causes := []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO}
			return refusal{operation(1 + random.IntN(allOperations)), causes[random.IntN(len(causes))]}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newDiskCluster(t, seed, 5, 1)
						defer c.stop()
						acknowledged := c.fillDisks(refuse)
						acknowledged = append(acknowledged, c.awaitCommit(commitLimit, "after the last disk has room"))
						c.requireEqual(acknowledged)
						c.stop()
						for i := range c.replicas {
							require.NoError(t, c.start(i))
						}
						c.requireEqual(append(acknowledged, c.awaitCommit(startLimit, "after a restart")))
					})
				})
			}
		})
	}
}
