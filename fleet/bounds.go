package fleet

import "time"

// Limits of a configuration as a whole.
const (
	// MaxConfigBytes is the maximum size of a configuration.
	MaxConfigBytes = 4 << 20
	// MaxNesting is the maximum nesting depth of objects and arrays.
	MaxNesting = 16
	// maxFaultBytes is the maximum length of the path and of the message of a fault.
	maxFaultBytes = 400
)

// Maximum lengths of the lists.
const (
	maxFailureDomains = 64
	maxServices       = 1000
	maxWorkspaces     = 100_000
	maxCalls          = 1000
	maxAdapters       = 1000
	maxRoutes         = 100_000
	maxSplitEntries   = 1000
	maxKeys           = 1000
)

// Highest request limits that entry hosts keep, on the smallest machines as well.
const (
	// HighestHeaderBytes is the highest RequestLimits.HeaderBytes.
	HighestHeaderBytes = 256 << 10
	// HighestBodyBytes is the highest RequestLimits.BodyBytes.
	HighestBodyBytes = 8 << 20
)

// Limits of the values. maxPhaseDuration applies to FirstByte, Gap, ColdFirstByte and
// Lasts, minCallerTimeout to HeaderTime and IdleTime.
const (
	maxPriority        = 1000
	maxInFlight        = 100_000
	maxLoadFactor      = 100
	maxQueue           = 1_000_000
	maxBodyBytes       = 1 << 30
	maxRampRequests    = 1_000_000
	maxReplicas        = 100_000
	maxWorkspaceShare  = 1_000_000
	maxConcurrentLoads = 100_000
	maxBytesPerSecond  = 1 << 50
	maxQueueWait       = time.Hour
	maxPhaseDuration   = time.Hour
	maxTotalTimeout    = 24 * time.Hour
	maxConnections     = 1_000_000
	maxColdPerSecond   = 1_000_000
	maxAttempts        = 100
	maxSplitWeight     = 1_000_000_000
	maxHeaderBytes     = 1 << 20
	minCallerTimeout   = time.Millisecond
)

// Defaults of omitted values. The defaults of Idempotent and Stream are false, those
// of Priority, ColdFirstByte, Placement.Min and Placement.Max are 0.
const (
	// DefaultInFlightPerTarget is the default of Limits.InFlightPerTarget.
	DefaultInFlightPerTarget = 16
	// DefaultLoadFactor is the default of Limits.LoadFactor.
	DefaultLoadFactor = 1.25
	// DefaultQueue is the default of Limits.Queue.
	DefaultQueue = 64
	// DefaultQueueWait is the default of Limits.QueueWait.
	DefaultQueueWait = 10 * time.Second
	// DefaultBodyBytes is the default of Limits.BodyBytes.
	DefaultBodyBytes = 1 << 20
	// DefaultColdLimit is the default of WarmUp.ColdLimit.
	DefaultColdLimit = 1
	// DefaultRampRequests is the default of WarmUp.RampRequests.
	DefaultRampRequests = 32
	// DefaultSpread is the default of Placement.Spread.
	DefaultSpread = 1
	// DefaultFirstByte is the default of Timeouts.FirstByte.
	DefaultFirstByte = 30 * time.Second
	// DefaultGap is the default of Timeouts.Gap.
	DefaultGap = 10 * time.Second
	// DefaultTotal is the default of Timeouts.Total.
	DefaultTotal = 10 * time.Minute
	// DefaultAttempts is the default of Route.Attempts.
	DefaultAttempts = 1
	// DefaultShare is the default of Workspace.Share.
	DefaultShare = 1
	// DefaultConcurrentLoads is the default of Store.ConcurrentLoads.
	DefaultConcurrentLoads = 2
	// DefaultBytesPerSecond is the default of Store.BytesPerSecond.
	DefaultBytesPerSecond = 1 << 30
)

// The kinds of service.
const (
	KindModel = "Model"
	KindPlain = "Plain"
)

// The roles of engines.
const (
	RoleMixed   = ""
	RolePrefill = "Prefill"
	RoleDecode  = "Decode"
)
