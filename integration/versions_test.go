package integration

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// versionMonitor continuously reads the active version through every host and records
// any decrease.
type versionMonitor struct {
	t       *testing.T
	stop    chan struct{}
	readers sync.WaitGroup

	mu          sync.Mutex
	reads       map[string]int
	regressions []string
}

// versionPollInterval is the interval between two reads through a host.
const versionPollInterval = 50 * time.Millisecond

func (c *cluster) monitorVersions() *versionMonitor {
	w := &versionMonitor{t: c.t, stop: make(chan struct{}), reads: map[string]int{}}
	for _, n := range c.nodes {
		w.readers.Go(func() { w.monitorNode(c, n) })
	}
	return w
}

func (w *versionMonitor) monitorNode(c *cluster, n *node) {
	var highest uint64
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(versionPollInterval):
		}
		status, ok := c.status(n)
		if !ok {
			continue
		}
		w.mu.Lock()
		w.reads[n.name]++
		if status.Version < highest {
			w.regressions = append(w.regressions, fmt.Sprintf("%s reports version %d after %d", n.name, status.Version, highest))
		}
		w.mu.Unlock()
		highest = max(highest, status.Version)
	}
}

// finish stops the reads and requires that no host reported a decreasing version.
func (w *versionMonitor) finish() {
	w.t.Helper()
	close(w.stop)
	w.readers.Wait()
	w.t.Logf("reads: %v", w.reads)
	require.Empty(w.t, w.regressions)
}

// stableOutcome returns the part of the output of apply that must be the same for a
// retried operation.
func stableOutcome(t *testing.T, text string) string {
	t.Helper()
	var result struct {
		Operation, Outcome string
		Version            uint64
	}
	require.NoError(t, json.Unmarshal([]byte(text), &result), text)
	encoded, err := json.Marshal(result)
	require.NoError(t, err)
	return string(encoded)
}
