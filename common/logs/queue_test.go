package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// gate is a reader of the log that can stop reading.
type gate struct {
	mu     sync.Mutex
	text   bytes.Buffer
	closed chan struct{}
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.closed
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

// A reader that stops reading costs lines and holds up nobody.
func TestABlockedReaderHoldsUpNobody(t *testing.T) {
	out := &gate{closed: make(chan struct{})}
	clock := clockwork.NewRealClock()
	queue := NewAsyncWriter(out, clock)
	line := []byte(`{"level":"warning","msg":"` + strings.Repeat("x", 2000) + "\"}\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 10_000 {
			n, err := queue.Write(line)
			if n != len(line) || err != nil {
				t.Errorf("wrote %d of %d: %v", n, len(line), err)
				return
			}
		}
	}()
	select {
	case <-written:
	case <-clock.After(10 * time.Second):
		require.Fail(t, "a write was blocked")
	}
	require.LessOrEqual(t, len(queue.waiting), queueBytes)
	close(out.closed)
	queue.Close(10 * time.Second)
	require.Contains(t, out.String(), "Lines were dropped")
}

// Routine lines leave room in the budget for failures.
func TestFailuresGoBeforeRoutine(t *testing.T) {
	out := &gate{closed: make(chan struct{})}
	close(out.closed)
	clock := clockwork.NewFakeClock()
	queue := NewAsyncWriter(out, clock)
	for i := range 3 * lineBudget {
		_, _ = queue.Write(fmt.Appendf(nil, "{\"level\":\"info\",\"n\":%d}\n", i))
	}
	for i := range 3 * lineBudget {
		_, _ = queue.Write(fmt.Appendf(nil, "{\"level\":\"warning\",\"n\":%d}\n", i))
	}
	queue.mu.Lock()
	waiting, dropped := string(queue.waiting), queue.dropped
	queue.mu.Unlock()
	routine, failures := strings.Count(waiting, `"level":"info"`), strings.Count(waiting, `"level":"warning"`)
	require.Equal(t, lineBudget, routine+failures+strings.Count(out.String(), "\n"))
	require.Equal(t, lineBudget/routineParts, failures)
	require.Equal(t, 5*lineBudget, dropped)
	clock.Advance(budgetTime)
	_, _ = queue.Write([]byte("{\"level\":\"info\"}\n"))
	queue.mu.Lock()
	defer queue.mu.Unlock()
	// What was dropped may be told, and counted from zero, once the clock moves.
	require.Equal(t, 1, queue.lines, "the next second has a budget of its own")
}
