package entry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/settings"
)

// The host uses these fractions of the fleet's retry limit: of the retries that
// its requests earn, and of its share of the remaining ones, half of which may
// accumulate as a burst. A sliding window that covers both a full bucket and
// its refill then stays within the limit.
const (
	earnedFraction = 0.8
	burstFraction  = 0.4
	refillFraction = 0.4
)

// retryBudget limits the retries of this host per service. It implements
// gateway.RetryBudget.
type retryBudget struct {
	limits settings.Retries
	hosts  func() int
	clock  clockwork.Clock
	// room returns the part of the budget that the room of a service leaves, from 0 to 1;
	// nil for all of it.
	room func(service string) float64

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket holds the retries that are available now.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

func newRetryBudget(limits settings.Retries, hosts func() int, clock clockwork.Clock) *retryBudget {
	return &retryBudget{limits: limits, hosts: hosts, clock: clock, buckets: map[string]*tokenBucket{}}
}

// bucketFor returns a service's bucket, refilled up to now, and its capacity.
// The caller must hold b.mu.
func (b *retryBudget) bucketFor(service string) (*tokenBucket, float64) {
	share := float64(b.limits.Extra) / float64(b.hosts()) * b.roomOf(service)
	capacity := max(burstFraction*share, 1)
	now := b.clock.Now()
	bucket := b.buckets[service]
	if bucket == nil {
		bucket = &tokenBucket{tokens: min(capacity, burstFraction*share), refilledAt: now}
		b.buckets[service] = bucket
	}
	refill := refillFraction * share * float64(now.Sub(bucket.refilledAt)) / float64(b.limits.Window)
	bucket.tokens, bucket.refilledAt = min(bucket.tokens+refill, capacity), now
	return bucket, capacity
}

// roomOf returns the part of the budget that is left.
func (b *retryBudget) roomOf(service string) float64 {
	if b.room == nil {
		return 1
	}
	return b.room(service)
}

// RecordRequest implements gateway.RetryBudget.
func (b *retryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket, capacity := b.bucketFor(service)
	bucket.tokens = min(bucket.tokens+earnedFraction*b.limits.Share*b.roomOf(service), capacity)
}

// TakeRetry implements gateway.RetryBudget.
func (b *retryBudget) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket, _ := b.bucketFor(service)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// ReturnRetry implements gateway.RetryBudget.
func (b *retryBudget) ReturnRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket, capacity := b.bucketFor(service)
	bucket.tokens = min(bucket.tokens+1, capacity)
}
