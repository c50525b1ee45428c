package gateway

import "sync"

// A retry costs retryCost; maxBudget bounds what quiet times save up.
const (
	retryCost = 1000
	maxBudget = 50 * retryCost
)

// budget is a token bucket: every request adds a share of a token and every
// retry takes one, so that retries stay a share of the traffic.
type budget struct {
	mu     sync.Mutex
	share  int
	tokens int
}

// request adds the share of one request.
func (b *budget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, maxBudget)
}

// take takes the token of one retry; it reports false when there is none.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < retryCost {
		return false
	}
	b.tokens -= retryCost
	return true
}

// budgets holds a budget for each service, so that a failing one does not use
// up the retries of the others.
type budgets struct {
	mu        sync.Mutex
	share     int
	byService map[string]*budget
}

func newBudgets(share float64) *budgets {
	return &budgets{share: int(share * retryCost), byService: map[string]*budget{}}
}

// RecordRequest implements RetryBudget.
func (b *budgets) RecordRequest(service string) { b.of(service).request() }

// TakeRetry implements RetryBudget.
func (b *budgets) TakeRetry(service string) bool { return b.of(service).take() }

// of returns the service's budget.
func (b *budgets) of(service string) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.byService[service]
	if found == nil {
		found = &budget{share: b.share}
		b.byService[service] = found
	}
	return found
}
