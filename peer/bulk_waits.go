package peer

import (
	"sync"
	"time"
)

// BulkWaits are the longest times from the moment at which a bulk message was queued until it was
// encoded, by its priority.
type BulkWaits struct{ Changes, State, Loads time.Duration }

// bulkWaits are the longest waits since they were last taken.
type bulkWaits struct {
	mu      sync.Mutex
	longest [priorities]time.Duration
}

func (w *bulkWaits) record(rank priority, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest[rank] = max(w.longest[rank], wait)
}

func (w *bulkWaits) take() BulkWaits {
	w.mu.Lock()
	defer w.mu.Unlock()
	taken := BulkWaits{Changes: w.longest[priorityChange], State: w.longest[priorityState], Loads: w.longest[priorityLoads]}
	w.longest = [priorities]time.Duration{}
	return taken
}
