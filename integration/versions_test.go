package integration

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// versionWatch reads the version in force through every host, all the time.
type versionWatch struct {
	t        *testing.T
	stop     chan struct{}
	watchers sync.WaitGroup

	mu     sync.Mutex
	reads  map[string]int
	faults []string
}

const versionPause = 50 * time.Millisecond

func (c *cluster) watchVersions() *versionWatch {
	w := &versionWatch{t: c.t, stop: make(chan struct{}), reads: map[string]int{}}
	for _, n := range c.nodes {
		w.watchers.Go(func() { w.watch(c, n) })
	}
	return w
}

func (w *versionWatch) watch(c *cluster, n *node) {
	var highest uint64
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(versionPause):
		}
		status, ok := c.status(n)
		if !ok {
			continue
		}
		w.mu.Lock()
		w.reads[n.name]++
		if status.Version < highest {
			w.faults = append(w.faults, fmt.Sprintf("%s shows version %d after %d", n.name, status.Version, highest))
		}
		w.mu.Unlock()
		highest = max(highest, status.Version)
	}
}

// finish ends the reads and checks that no version went back.
func (w *versionWatch) finish() {
	w.t.Helper()
	close(w.stop)
	w.watchers.Wait()
	w.t.Logf("reads: %v", w.reads)
	require.Empty(w.t, w.faults)
}

// outcome returns what an apply tells that must not change when it is sent again.
func outcome(t *testing.T, text string) string {
	t.Helper()
	var told struct {
		Operation, Outcome string
		Version            uint64
	}
	require.NoError(t, json.Unmarshal([]byte(text), &told), text)
	same, err := json.Marshal(told)
	require.NoError(t, err)
	return string(same)
}
