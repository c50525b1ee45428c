package gateway

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// openStreams is the number of streams held open at once.
const openStreams = 400

// BenchmarkStreamMemory reports the memory that an open stream takes in the
// gateway: that of streams through it less that of the same streams read from
// the engine directly, client and engine included in both.
func BenchmarkStreamMemory(b *testing.B) {
	for range b.N {
		f := newFixture(b, WithIdleTimeout(time.Hour))
		timeouts := &f.catalog.fleet.Services[0].Timeouts
		timeouts.FirstByte, timeouts.Gap, timeouts.Total = time.Hour, time.Hour, time.Hour
		engine := f.engine(standin.EngineSettings{Name: "engine-1", TokenInterval: time.Hour})
		direct := f.memoryOf(engine, engine.Address())
		through := f.memoryOf(engine, f.address)
		b.ReportMetric((through-direct)/openStreams/1024, "KiB/stream")
	}
}

// memoryOf returns the memory in use with the streams open, less that before.
func (f *fixture) memoryOf(engine *standin.Engine, address string) float64 {
	ctx, leave := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var open atomic.Int64
	before := memoryInUse()
	for range openStreams {
		group.Go(func() { f.holdStream(ctx, address, &open) })
	}
	eventually(f.t, func() bool { return open.Load() == openStreams }, "the streams are open")
	used := memoryInUse() - before
	leave()
	group.Wait()
	engine.CrashAndRestart(true)
	eventually(f.t, func() bool { return engine.InFlight() == 0 && f.gateway.InFlight() == 0 }, "the streams are over")
	f.client.CloseIdleConnections()
	return used
}

// holdStream opens a stream and waits for its end.
func (f *fixture) holdStream(ctx context.Context, address string, open *atomic.Int64) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathServices+"Reviews/Draft", strings.NewReader(dossier))
	require.NoError(f.t, err)
	request.Header.Set(HeaderWorkspace, "Students")
	request.Header.Set(HeaderRequest, f.gateway.nextID())
	request.Header.Set("Accept", contentStream)
	response, err := f.client.Do(request)
	if err == nil {
		open.Add(1)
		_, _ = read(response)
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
