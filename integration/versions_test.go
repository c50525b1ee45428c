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
	m := &versionMonitor{t: c.t, stop: make(chan struct{}), reads: map[string]int{}}
	for _, h := range c.hosts {
		m.readers.Go(func() { m.monitorHost(c, h) })
	}
	return m
}

func (m *versionMonitor) monitorHost(c *cluster, h *host) {
	var highest uint64
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(versionPollInterval):
		}
		status, ok := c.status(h)
		if !ok {
			continue
		}
		m.mu.Lock()
		m.reads[h.name]++
		if status.Version < highest {
			m.regressions = append(m.regressions, fmt.Sprintf("%s reports version %d after %d", h.name, status.Version, highest))
		}
		m.mu.Unlock()
		highest = max(highest, status.Version)
	}
}

// finish stops the reads and requires that no host reported a decreasing version.
func (m *versionMonitor) finish() {
	m.t.Helper()
	close(m.stop)
	m.readers.Wait()
	m.t.Logf("reads: %v", m.reads)
	require.Empty(m.t, m.regressions)
}

// stableOutcome returns the part of the output of apply that must be the same for a
// retried operation.
func stableOutcome(t *testing.T, output string) string {
	t.Helper()
	var result struct {
		Operation, Outcome string
		Version            uint64
	}
	require.NoError(t, json.Unmarshal([]byte(output), &result), output)
	encoded, err := json.Marshal(result)
	require.NoError(t, err)
	return string(encoded)
}
