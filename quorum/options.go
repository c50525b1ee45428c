package quorum

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// Defaults that a zero Config field stands for.
const (
	// DefaultTickInterval is the time of one node tick.
	DefaultTickInterval = 50 * time.Millisecond
	// DefaultSnapshotEntries and DefaultSnapshotBytes are how much is applied
	// between two snapshots, whichever comes first.
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 32 << 20
	// DefaultRetainedEntries stay in memory behind a snapshot for followers that
	// are a little behind.
	DefaultRetainedEntries = 1_000
	// DefaultMaxQueueBytes bounds the commands without an outcome.
	DefaultMaxQueueBytes = 32 << 20
	// DefaultMaxCommandBytes bounds one command.
	DefaultMaxCommandBytes = 4 << 20
)

// Config holds a replica's settings; zero fields but Host take the defaults.
type Config struct {
	// Host is the name of the host that the replica runs on; a disk that was
	// written under another name is refused.
	Host string
	// Cluster, if set, is the only cluster whose disk is accepted.
	Cluster string
	// TickInterval is the time of one node tick.
	TickInterval time.Duration
	// Node holds the consensus limits, in ticks and bytes.
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

// confirmWindow is how long a confirmed heartbeat round backs the lead, from
// the time it was sent. A follower refuses its vote to others for ElectionTicks
// ticks after it answered; the first of them may be due at once, and its timer
// may hold one more.
func (c Config) confirmWindow() time.Duration {
	const tickMargin = 2
	return time.Duration(c.Node.ElectionTicks-tickMargin) * c.TickInterval
}

// Option changes how a Replica runs.
type Option func(*Replica)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option {
	return func(r *Replica) { r.clock = clock }
}

// WithLogger sets where the replica logs; the default is nowhere.
func WithLogger(logger *logrus.Logger) Option {
	return func(r *Replica) { r.logger = logger }
}

// WithLeadershipChange calls the function with each change of the term, the
// leader or the own lead, in order and one at a time. Confirmed is not set in
// its argument.
func WithLeadershipChange(onChange func(Leadership)) Option {
	return func(r *Replica) { r.onChange = onChange }
}
