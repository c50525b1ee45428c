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

// blockingOutput is a log output whose writes block until closed is closed.
type blockingOutput struct {
	mu      sync.Mutex
	written bytes.Buffer
	closed  chan struct{}
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	<-o.closed
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

func (o *blockingOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

// Guards against an output that blocks, such as a pipe that is not read, blocking the
// process. Lines are dropped instead.
func TestAsyncWriter_BlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockingOutput{closed: make(chan struct{})}
	clock := clockwork.NewRealClock()
	writer := NewAsyncWriter(out, clock)
	line := []byte(`{"level":"warning","msg":"` + strings.Repeat("x", 2000) + "\"}\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 10_000 {
			n, err := writer.Write(line)
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
	writer.mu.Lock()
	buffered := len(writer.buffered)
	writer.mu.Unlock()
	require.LessOrEqual(t, buffered, maxBufferedBytes)
	close(out.closed)
	writer.Close(10 * time.Second)
	require.Contains(t, out.String(), "Lines were dropped")
}

// Guards against warnings being dropped because info lines used up the rate limit.
func TestAsyncWriter_RateLimitReservesLinesForWarnings(t *testing.T) {
	out := &blockingOutput{closed: make(chan struct{})}
	close(out.closed)
	clock := clockwork.NewFakeClock()
	writer := NewAsyncWriter(out, clock)
	for i := range 3 * maxLinesPerWindow {
		_, _ = writer.Write(fmt.Appendf(nil, "{\"level\":\"info\",\"n\":%d}\n", i))
	}
	for i := range 3 * maxLinesPerWindow {
		_, _ = writer.Write(fmt.Appendf(nil, "{\"level\":\"warning\",\"n\":%d}\n", i))
	}
	writer.mu.Lock()
	buffered, dropped := string(writer.buffered), writer.dropped
	writer.mu.Unlock()
	infos, warnings := strings.Count(buffered, `"level":"info"`), strings.Count(buffered, `"level":"warning"`)
	require.Equal(t, maxLinesPerWindow, infos+warnings+strings.Count(out.String(), "\n"))
	require.Equal(t, maxLinesPerWindow/reservedDivisor, warnings)
	require.Equal(t, 5*maxLinesPerWindow, dropped)
	clock.Advance(lineWindow)
	_, _ = writer.Write([]byte("{\"level\":\"info\"}\n"))
	writer.mu.Lock()
	defer writer.mu.Unlock()
	// The count of dropped lines isn't checked from here on: advancing the clock
	// allows the goroutine to report and reset it.
	require.Equal(t, 1, writer.lines, "the rate limit must reset in the next window")
}
