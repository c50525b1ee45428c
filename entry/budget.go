package entry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/settings"
)

// What this host uses of the fleet's retries: part of what its requests earn and
// of its share of the rest, half of the latter saved up. A window that slides
// over a saved-up bucket and its refill then stays within the whole.
const (
	earnedPart = 0.8
	savedPart  = 0.4
	spentPart  = 0.4
)

// retryBudget bounds what this host sends once more to each service. It
// implements gateway.RetryBudget.
type retryBudget struct {
	limits settings.Retries
	hosts  func() int
	clock  clockwork.Clock

	mu     sync.Mutex
	bucket map[string]*bucket
}

// bucket holds the retries that may be taken now.
type bucket struct {
	tokens float64
	at     time.Time
}

func newRetryBudget(limits settings.Retries, hosts func() int, clock clockwork.Clock) *retryBudget {
	return &retryBudget{limits: limits, hosts: hosts, clock: clock, bucket: map[string]*bucket{}}
}

// of returns a service's bucket, filled up to now. The lock is held.
func (b *retryBudget) of(service string) (*bucket, float64) {
	share := float64(b.limits.Extra) / float64(b.hosts())
	most := max(savedPart*share, 1)
	now := b.clock.Now()
	found := b.bucket[service]
	if found == nil {
		found = &bucket{tokens: min(most, savedPart*share), at: now}
		b.bucket[service] = found
	}
	refill := spentPart * share * float64(now.Sub(found.at)) / float64(b.limits.Window)
	found.tokens, found.at = min(found.tokens+refill, most), now
	return found, most
}

// Request implements gateway.RetryBudget.
func (b *retryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found, most := b.of(service)
	found.tokens = min(found.tokens+earnedPart*b.limits.Share, most)
}

// Take implements gateway.RetryBudget.
func (b *retryBudget) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	found, _ := b.of(service)
	if found.tokens < 1 {
		return false
	}
	found.tokens--
	return true
}
