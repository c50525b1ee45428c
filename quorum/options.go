package quorum

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// Defaults for zero Config fields.
const (
	// DefaultTickInterval is the interval between two ticks of the node.
	DefaultTickInterval = 50 * time.Millisecond
	// DefaultSnapshotEntries and DefaultSnapshotBytes are the entries and bytes
	// applied between two snapshots, whichever limit is reached first.
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 32 << 20
	// DefaultRetainedEntries is the number of entries kept in memory behind a
	// snapshot, for followers that lag slightly.
	DefaultRetainedEntries = 1_000
	// DefaultMaxQueueBytes is the maximum size of all commands without an
	// outcome.
	DefaultMaxQueueBytes = 32 << 20
	// DefaultMaxCommandBytes is the maximum size of one command.
	DefaultMaxCommandBytes = 4 << 20
)

// Config holds a replica's settings; zero fields except Host and Cluster take
// the defaults.
type Config struct {
	// Host is the name of the host that the replica runs on; a storage written
	// by another host is rejected.
	Host string
	// Cluster, if set, is the only cluster whose storage is accepted.
	Cluster string
	// TickInterval is the interval between two ticks of the node.
	TickInterval time.Duration
	// Node holds the limits of the consensus algorithm, in ticks and bytes.
	Node            NodeConfig
	SnapshotEntries uint64
	SnapshotBytes   int
	RetainedEntries uint64
	MaxQueueBytes   int
	MaxCommandBytes int
}

func (c Config) withDefaults() Config {
	if c.TickInterval == 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.RetainedEntries == 0 {
		c.RetainedEntries = DefaultRetainedEntries
	}
	orDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	orDefault(&c.MaxQueueBytes, DefaultMaxQueueBytes)
	orDefault(&c.MaxCommandBytes, DefaultMaxCommandBytes)
	c.Node = c.Node.withDefaults()
	return c
}

// confirmWindow returns how long a confirmed heartbeat round backs the
// leadership, measured from the time the round was sent. A follower denies its
// vote to other candidates for ElectionTicks ticks after it answered; the first
// of these ticks may be due immediately, and its ticker may have one more tick
// buffered.
func (c Config) confirmWindow() time.Duration {
	const tickMargin = 2
	return time.Duration(c.Node.ElectionTicks-tickMargin) * c.TickInterval
}

// Option configures a Replica.
type Option func(*Replica)

// WithClock sets the clock; the default is the system clock.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Replica) { r.clock = clock }
}

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(logger *logrus.Logger) Option {
	return func(r *Replica) { r.logger = logger }
}

// WithLeadershipChange registers a function that is called with each change of
// the term, the leader or whether this replica leads, in order and one at a
// time. Confirmed is not set in its argument.
func WithLeadershipChange(onChange func(Leadership)) Option {
	return func(r *Replica) { r.onChange = onChange }
}
