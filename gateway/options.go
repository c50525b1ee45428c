package gateway

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Default limits of a gateway.
const (
	defaultMaxConnections   = 4096
	defaultMaxHeaderBytes   = 8 << 10
	defaultMaxHeaderFields  = 64
	defaultMaxURIBytes      = 2 << 10
	defaultMaxBodyBytes     = 4 << 20
	defaultMaxResponseBytes = 32 << 20
	defaultMaxBufferedBytes = 128 << 20
	defaultMaxStoredBytes   = 64 << 10
	// defaultRequestMemory is the memory for requests beside the buffered responses.
	defaultRequestMemory    = 128 << 20
	defaultReadTimeout      = 15 * time.Second
	defaultIdleTimeout      = 60 * time.Second
	defaultWriteTimeout     = 15 * time.Second
	defaultFirstByteTimeout = 30 * time.Second
	defaultGapTimeout       = 30 * time.Second
	defaultTotalTimeout     = 10 * time.Minute
	defaultRetryRatio       = 0.1
	defaultMaxAttempts      = 3
	defaultMaxResumes       = 3
	defaultBackoff          = 25 * time.Millisecond
	defaultRetryAfter       = time.Second
	defaultCancelTimeout    = 2 * time.Second
	defaultClaimTimeout     = 5 * time.Second
	defaultClaimWait        = 500 * time.Millisecond
	defaultMinDrainDuration = 200 * time.Millisecond
)

// settings holds the limits and options of a gateway.
type settings struct {
	maxConnections      int
	maxHeaderBytes      int
	maxHeadBufferBytes  int
	maxHeaderFields     int
	maxURIBytes         int
	maxBodyBytes        int
	maxResponseBytes    int
	maxBufferedBytes    int
	maxStoredBytes      int
	memoryBytes         int
	readTimeout         time.Duration
	idleTimeout         time.Duration
	writeTimeout        time.Duration
	retryRatio          float64
	maxAttempts         int
	maxResumes          int
	backoff             time.Duration
	retryAfter          time.Duration
	cancelTimeout       time.Duration
	claimTimeout        time.Duration
	claimWait           time.Duration
	minDrainDuration    time.Duration
	drainTimeout        time.Duration
	requestsDuringDrain bool
	handlers            []prefixHandler
	targetErrors        bool
	strictRetryBudget   bool
	callsOnly           bool
}

// prefixHandler serves the paths with a given prefix.
type prefixHandler struct {
	prefix  string
	handler fasthttp.RequestHandler
}

// Option configures a gateway.
type Option func(*settings)

func defaultSettings() settings {
	return settings{
		maxConnections: defaultMaxConnections, maxHeaderBytes: defaultMaxHeaderBytes, maxHeaderFields: defaultMaxHeaderFields,
		maxURIBytes: defaultMaxURIBytes, maxBodyBytes: defaultMaxBodyBytes, maxResponseBytes: defaultMaxResponseBytes, maxBufferedBytes: defaultMaxBufferedBytes,
		maxStoredBytes: defaultMaxStoredBytes, readTimeout: defaultReadTimeout, idleTimeout: defaultIdleTimeout,
		writeTimeout: defaultWriteTimeout, retryRatio: defaultRetryRatio, maxAttempts: defaultMaxAttempts,
		maxResumes: defaultMaxResumes, backoff: defaultBackoff, retryAfter: defaultRetryAfter,
		cancelTimeout: defaultCancelTimeout, claimTimeout: defaultClaimTimeout, claimWait: defaultClaimWait, minDrainDuration: defaultMinDrainDuration,
	}
}

// WithMaxConnections limits the number of open connections from callers.
func WithMaxConnections(n int) Option { return func(s *settings) { s.maxConnections = n } }

// WithHeaderLimits limits the size of a request header in bytes, the number of
// its fields, and the length of the request URI in bytes.
func WithHeaderLimits(maxBytes, maxFields, maxURIBytes int) Option {
	return func(s *settings) {
		s.maxHeaderBytes, s.maxHeaderFields, s.maxURIBytes = maxBytes, maxFields, maxURIBytes
	}
}

// WithMaxHeadBuffer lets the fleet configuration allow larger headers than WithHeaderLimits: a
// connection gets a buffer of up to maxBytes for a header and a URI if it needs one.
func WithMaxHeadBuffer(maxBytes int) Option {
	return func(s *settings) { s.maxHeadBufferBytes = maxBytes }
}

// WithMaxBodyBytes limits the request bodies of services that do not set their
// own limit.
func WithMaxBodyBytes(n int) Option { return func(s *settings) { s.maxBodyBytes = n } }

// WithMaxResponseBytes limits the size of a non-streaming response, which is
// buffered until it is complete.
func WithMaxResponseBytes(n int) Option { return func(s *settings) { s.maxResponseBytes = n } }

// WithMaxBufferedBytes limits the size of all buffered responses together.
func WithMaxBufferedBytes(n int) Option { return func(s *settings) { s.maxBufferedBytes = n } }

// WithRequestMemory limits what is held for callers in all: heads, bodies and responses that have
// not been read.
func WithRequestMemory(bytes int) Option { return func(s *settings) { s.memoryBytes = bytes } }

// requestMemory returns the limit of what is held for callers.
func (s *settings) requestMemory() int {
	if s.memoryBytes > 0 {
		return s.memoryBytes
	}
	return defaultRequestMemory + s.maxBufferedBytes
}

// WithMaxStoredBytes limits the size of a response that is stored with a claim.
func WithMaxStoredBytes(n int) Option { return func(s *settings) { s.maxStoredBytes = n } }

// WithReadTimeout limits the time to read a request. It must be positive.
func WithReadTimeout(d time.Duration) Option { return func(s *settings) { s.readTimeout = d } }

// WithIdleTimeout limits the time that a connection may stay open without a
// request. It must be positive.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idleTimeout = d } }

// WithWriteTimeout limits the time that a write to a caller may block.
func WithWriteTimeout(d time.Duration) Option { return func(s *settings) { s.writeTimeout = d } }

// WithRetries sets the maximum number of attempts per request, and the retries
// of a service as a ratio of its requests.
func WithRetries(maxAttempts int, retryRatio float64) Option {
	return func(s *settings) { s.maxAttempts, s.retryRatio = maxAttempts, retryRatio }
}

// WithBackoff sets the mean delay before the first retry. It doubles with each
// further retry.
func WithBackoff(d time.Duration) Option { return func(s *settings) { s.backoff = d } }

// WithRetryAfter sets the default retry delay that is returned to callers.
func WithRetryAfter(d time.Duration) Option { return func(s *settings) { s.retryAfter = d } }

// WithCancelTimeout limits the time to send a cancellation to a target.
func WithCancelTimeout(d time.Duration) Option { return func(s *settings) { s.cancelTimeout = d } }

// WithClaimTimeout limits the time to commit a change of a claim, and the time
// that a response waits for the commit.
func WithClaimTimeout(timeout, responseWait time.Duration) Option {
	return func(s *settings) { s.claimTimeout, s.claimWait = timeout, responseWait }
}

// WithMinDrainDuration sets how long a draining gateway keeps responding to new
// requests with a refusal, so that the load balancer notices the failed
// readiness check.
func WithMinDrainDuration(d time.Duration) Option {
	return func(s *settings) { s.minDrainDuration = d }
}

// WithRequestsDuringDrain allows a draining gateway to serve requests on
// connections that are still open, if their deadline is before the end of the
// drain timeout.
func WithRequestsDuringDrain() Option { return func(s *settings) { s.requestsDuringDrain = true } }

// WithDrainTimeout limits the duration of a drain. By default a drain waits for
// every stream to finish.
func WithDrainTimeout(d time.Duration) Option { return func(s *settings) { s.drainTimeout = d } }

// WithTargetErrors returns the error response of a target to the caller if no
// attempt is left, instead of a failure of the gateway.
func WithTargetErrors() Option { return func(s *settings) { s.targetErrors = true } }

// WithStrictRetryBudget charges every attempt that may reach a target again to
// the retry budget, including the first resume of a stream and the retry after
// the failure of a reused idle connection.
func WithStrictRetryBudget() Option { return func(s *settings) { s.strictRetryBudget = true } }

// WithCallsOnly handles every path as a call, including the health and
// readiness paths.
func WithCallsOnly() Option { return func(s *settings) { s.callsOnly = true } }

// WithHandler serves the paths that begin with prefix with handler.
func WithHandler(prefix string, handler fasthttp.RequestHandler) Option {
	return func(s *settings) { s.handlers = append(s.handlers, prefixHandler{prefix, handler}) }
}

// handler returns the first handler whose prefix matches path, and nil if there
// is none.
func (s *settings) handler(path string) fasthttp.RequestHandler {
	for _, h := range s.handlers {
		if strings.HasPrefix(path, h.prefix) {
			return h.handler
		}
	}
	return nil
}
