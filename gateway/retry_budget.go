package gateway

import "sync"

// A retry costs retryCost tokens. maxTokens limits the tokens that a service
// accumulates while it has no retries.
const (
	retryCost = 1000
	maxTokens = 50 * retryCost
)

// tokenBucket is a token bucket: every request adds tokensPerRequest and every
// retry takes retryCost, so that retries remain a fixed share of the traffic.
type tokenBucket struct {
	mu               sync.Mutex
	tokensPerRequest int
	tokens           int
}

// addRequest adds the tokens for one request.
func (b *tokenBucket) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.tokensPerRequest, maxTokens)
}

// takeRetry takes the tokens for one retry. It returns false if there are too
// few.
func (b *tokenBucket) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < retryCost {
		return false
	}
	b.tokens -= retryCost
	return true
}

// returnRetry adds the tokens of a retry that was not used.
func (b *tokenBucket) returnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryCost, maxTokens)
}

// serviceBudgets holds one bucket per service, so that a failing service does
// not use up the retries of the others.
type serviceBudgets struct {
	mu               sync.Mutex
	tokensPerRequest int
	byService        map[string]*tokenBucket
}

func newServiceBudgets(retryRatio float64) *serviceBudgets {
	return &serviceBudgets{tokensPerRequest: int(retryRatio * retryCost), byService: map[string]*tokenBucket{}}
}

// RecordRequest implements RetryBudget.
func (b *serviceBudgets) RecordRequest(service string) { b.forService(service).addRequest() }

// TakeRetry implements RetryBudget.
func (b *serviceBudgets) TakeRetry(service string) bool { return b.forService(service).takeRetry() }

// ReturnRetry implements RetryBudget.
func (b *serviceBudgets) ReturnRetry(service string) { b.forService(service).returnRetry() }

// forService returns the bucket of the service.
func (b *serviceBudgets) forService(service string) *tokenBucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.byService[service]
	if bucket == nil {
		bucket = &tokenBucket{tokensPerRequest: b.tokensPerRequest}
		b.byService[service] = bucket
	}
	return bucket
}
