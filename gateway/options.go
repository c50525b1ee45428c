package gateway

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// The defaults of a gateway's limits.
const (
	defaultMaxConnections = 4096
	defaultHeaderBytes    = 8 << 10
	defaultHeaderCount    = 64
	defaultURIBytes       = 2 << 10
	defaultBodyBytes      = 4 << 20
	defaultAnswerBytes    = 32 << 20
	defaultStoredBytes    = 64 << 10
	defaultReadTimeout    = 15 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultWriteStall     = 15 * time.Second
	defaultFirstByte      = 30 * time.Second
	defaultGap            = 30 * time.Second
	defaultTotal          = 10 * time.Minute
	defaultRetryShare     = 0.1
	defaultAttempts       = 3
	defaultResumes        = 3
	defaultBackoff        = 25 * time.Millisecond
	defaultRetryAfter     = time.Second
	defaultCancelTimeout  = 2 * time.Second
	defaultClaimTimeout   = 5 * time.Second
	defaultClaimWait      = 500 * time.Millisecond
	defaultLinger         = 200 * time.Millisecond
)

// settings are a gateway's limits.
type settings struct {
	maxConnections int
	headerBytes    int
	headerCount    int
	uriBytes       int
	bodyBytes      int
	answerBytes    int
	storedBytes    int
	readTimeout    time.Duration
	idleTimeout    time.Duration
	writeStall     time.Duration
	retryShare     float64
	attempts       int
	resumes        int
	backoff        time.Duration
	retryAfter     time.Duration
	cancelTimeout  time.Duration
	claimTimeout   time.Duration
	claimWait      time.Duration
	linger         time.Duration
	drainLimit     time.Duration
	lateRequests   bool
	handlers       []prefixHandler
	targetErrors   bool
	strictBudget   bool
	callsOnly      bool
}

// prefixHandler serves the paths below a prefix.
type prefixHandler struct {
	prefix  string
	handler fasthttp.RequestHandler
}

// Option changes a gateway's limits.
type Option func(*settings)

func defaultSettings() settings {
	return settings{
		maxConnections: defaultMaxConnections, headerBytes: defaultHeaderBytes, headerCount: defaultHeaderCount,
		uriBytes: defaultURIBytes, bodyBytes: defaultBodyBytes, answerBytes: defaultAnswerBytes,
		storedBytes: defaultStoredBytes, readTimeout: defaultReadTimeout, idleTimeout: defaultIdleTimeout,
		writeStall: defaultWriteStall, retryShare: defaultRetryShare, attempts: defaultAttempts,
		resumes: defaultResumes, backoff: defaultBackoff, retryAfter: defaultRetryAfter,
		cancelTimeout: defaultCancelTimeout, claimTimeout: defaultClaimTimeout, claimWait: defaultClaimWait, linger: defaultLinger,
	}
}

// WithMaxConnections bounds the callers' connections.
func WithMaxConnections(n int) Option { return func(s *settings) { s.maxConnections = n } }

// WithHeaderLimits bounds a request's header in bytes and in fields, and its
// URI in bytes.
func WithHeaderLimits(bytes, fields, uri int) Option {
	return func(s *settings) { s.headerBytes, s.headerCount, s.uriBytes = bytes, fields, uri }
}

// WithMaxBodyBytes bounds the bodies of services whose limits name no size.
func WithMaxBodyBytes(n int) Option { return func(s *settings) { s.bodyBytes = n } }

// WithMaxResponseBytes bounds a plain answer, which is held until it is whole.
func WithMaxResponseBytes(n int) Option { return func(s *settings) { s.answerBytes = n } }

// WithMaxStoredBytes bounds the answer that is stored with a claim.
func WithMaxStoredBytes(n int) Option { return func(s *settings) { s.storedBytes = n } }

// WithReadTimeout bounds the time that a caller takes to send a request.
func WithReadTimeout(d time.Duration) Option { return func(s *settings) { s.readTimeout = d } }

// WithIdleTimeout bounds the time that a connection may stay without request.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idleTimeout = d } }

// WithWriteTimeout bounds the time that a caller may leave a write unread.
func WithWriteTimeout(d time.Duration) Option { return func(s *settings) { s.writeStall = d } }

// WithRetries sets the largest number of attempts of one request, and the
// retries of a service as a share of its requests.
func WithRetries(attempts int, share float64) Option {
	return func(s *settings) { s.attempts, s.retryShare = attempts, share }
}

// WithBackoff sets the mean wait before the first retry; it doubles with each.
func WithBackoff(d time.Duration) Option { return func(s *settings) { s.backoff = d } }

// WithRetryAfter sets when callers are told to come back if nothing better is
// known.
func WithRetryAfter(d time.Duration) Option { return func(s *settings) { s.retryAfter = d } }

// WithCancelTimeout bounds the message that stops a request on a target.
func WithCancelTimeout(d time.Duration) Option { return func(s *settings) { s.cancelTimeout = d } }

// WithClaimTimeout bounds a change of a claim, and how long an answer waits for
// the change to be committed.
func WithClaimTimeout(limit, wait time.Duration) Option {
	return func(s *settings) { s.claimTimeout, s.claimWait = limit, wait }
}

// WithMinDrainDuration sets how long a draining gateway goes on answering new requests
// with a refusal, so that the balancer sees its readiness fail.
func WithMinDrainDuration(d time.Duration) Option { return func(s *settings) { s.linger = d } }

// WithRequestsDuringDrain lets a draining gateway serve what comes on connections that
// are open still, as long as its deadline is before the end of the drain limit.
func WithRequestsDuringDrain() Option { return func(s *settings) { s.lateRequests = true } }

// WithDrainTimeout bounds a drain. Without it every stream is finished.
func WithDrainTimeout(d time.Duration) Option { return func(s *settings) { s.drainLimit = d } }

// WithTargetErrors hands the error answer of a target to the caller where no
// attempt is left, in place of a failure of the gateway's own.
func WithTargetErrors() Option { return func(s *settings) { s.targetErrors = true } }

// WithStrictRetryBudget charges every request that may reach a target once more to the
// retry budget: the first resume of a stream and the retry after a lost idle
// connection, too.
func WithStrictRetryBudget() Option { return func(s *settings) { s.strictBudget = true } }

// WithCallsOnly takes every path for a call, those of health and readiness
// included.
func WithCallsOnly() Option { return func(s *settings) { s.callsOnly = true } }

// WithHandler serves the paths that begin with prefix by handler.
func WithHandler(prefix string, handler fasthttp.RequestHandler) Option {
	return func(s *settings) { s.handlers = append(s.handlers, prefixHandler{prefix, handler}) }
}

func (s *settings) handler(path string) fasthttp.RequestHandler {
	for _, h := range s.handlers {
		if strings.HasPrefix(path, h.prefix) {
			return h.handler
		}
	}
	return nil
}
