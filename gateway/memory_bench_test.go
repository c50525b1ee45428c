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

// openStreams is the number of concurrent streams.
const openStreams = 400

// BenchmarkStreamMemory reports the memory used by an open stream in the
// gateway: the memory used by streams through the gateway minus that of the
// same streams read directly from the engine. Both include the client and the
// engine.
func BenchmarkStreamMemory(b *testing.B) {
	for range b.N {
		f := newFixture(b, WithIdleTimeout(time.Hour))
		timeouts := &f.catalog.fleet.Services[0].Timeouts
		timeouts.FirstByte, timeouts.Gap, timeouts.Total = time.Hour, time.Hour, time.Hour
		engine := f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: time.Hour})
		direct := f.memoryOfStreams(engine, engine.Address())
		through := f.memoryOfStreams(engine, f.address)
		b.ReportMetric((through-direct)/openStreams/1024, "KiB/stream")
	}
}

// memoryOfStreams returns the increase of memory in use while the streams are
// open.
func (f *fixture) memoryOfStreams(engine *standin.Engine, address string) float64 {
	ctx, disconnect := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var open atomic.Int64
	before := memoryInUse()
	for range openStreams {
		group.Go(func() { f.holdStream(ctx, address, &open) })
	}
	eventually(f.t, func() bool { return open.Load() == openStreams }, "the streams are open")
	used := memoryInUse() - before
	disconnect()
	group.Wait()
	engine.CrashAndRestart(true)
	eventually(f.t, func() bool { return engine.InFlight() == 0 && f.gateway.InFlight() == 0 }, "the streams have ended")
	f.client.CloseIdleConnections()
	return used
}

// holdStream opens a stream and reads it until it ends.
func (f *fixture) holdStream(ctx context.Context, address string, open *atomic.Int64) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathServices+"Reviews/Draft", strings.NewReader(dossier))
	require.NoError(f.t, err)
	request.Header.Set(HeaderWorkspace, "Students")
	request.Header.Set(HeaderRequest, f.gateway.nextID())
	request.Header.Set("Accept", contentStream)
	response, err := f.client.Do(request)
	if err == nil {
		open.Add(1)
		_, _ = readBody(response)
	}
}

// memoryInUse returns the bytes of heap and stack in use.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
