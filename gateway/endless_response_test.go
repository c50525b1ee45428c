package gateway

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// endlessRequests is the number of requests that get an endless response at the same
// time.
const endlessRequests = 8

// A target in trouble may send bytes that are no response until the host closes the
// connection. The host must close it after bounded time and bytes, count a failure of
// the target, never say that the request did not run, and serve others meanwhile.
func TestEndlessResponse_IsCutAndOthersAreServed(t *testing.T) {
	for _, test := range []struct {
		kind standin.FaultKind
		path string
	}{
		{standin.FaultEndlessHead, "Treasury/Pay"},
		{standin.FaultEndlessHeaderFields, "Treasury/Pay"},
		{standin.FaultEndlessInterim, "Treasury/Pay"},
		{standin.FaultEndlessChunkExtension, "Treasury/Pay"},
		{standin.FaultEndless, "Treasury/Pay"},
		{standin.FaultDrip, "Treasury/Pay"},
		{standin.FaultEndlessHead, "Reviews/Draft"},
		{standin.FaultEndlessEvent, "Reviews/Draft"},
		{standin.FaultEndlessEventLines, "Reviews/Draft"},
		{standin.FaultEndlessEventLines, "Reviews/File"},
	} {
		t.Run(string(test.kind)+" "+test.path, func(t *testing.T) {
			f := newFixture(t, WithMaxResponseBytes(1<<20), WithRetries(1, 0))
			f.setTargetTimeout(shortTargetTimeout)
			for i := range f.catalog.fleet.Services {
				f.catalog.fleet.Services[i].Timeouts.Total = 2 * shortTargetTimeout
			}
			plain := f.addPlain("treasury-1")
			endlessOpen, inject, hasFaults := plain.EndlessResponses, plain.Inject, plain.HasFaults
			if test.path != "Treasury/Pay" {
				f.admitter.permits = nil
				engine := f.addEngine(standin.EngineSettings{Name: "engine-1", DefaultTokens: 1})
				endlessOpen, inject, hasFaults = engine.EndlessResponses, engine.Inject, engine.HasFaults
			}
			inject(standin.Fault{Kind: test.kind, Count: endlessRequests, Delay: time.Millisecond})
			var group sync.WaitGroup
			for range endlessRequests {
				group.Go(func() {
					response := f.post(test.path, `{}`)
					text, err := readBody(response)
					if err == nil {
						require.Equal(t, "Unknown", executionResult(response.StatusCode, text))
					} else {
						require.NotEmpty(t, parseStream(t, text).failureData)
					}
				})
			}
			eventually(t, func() bool { return !hasFaults() }, "the requests have reached the target")
			for range 4 {
				status, _ := f.postAndRead(test.path, `{}`)
				require.Equal(t, 200, status, "others are served")
			}
			group.Wait()
			eventually(t, func() bool { return endlessOpen() == 0 }, "the connections are closed")
			eventually(t, func() bool { return f.gateway.InFlight() == 0 }, "no request is in flight")
			eventually(t, func() bool {
				failed := 0
				for _, outcome := range f.admitter.outcomes() {
					if outcome == admission.OutcomeFailed {
						failed++
					}
				}
				return failed == endlessRequests
			}, "each response counts as a failure of the target")
			require.Equal(t, defaultMaxBufferedBytes, f.gateway.responseMemory.free, "the memory of all responses is released")
		})
	}
}

// Bytes after a complete response belong to no request: the response is delivered, the
// connection is not reused and is closed although nothing else is sent to the target.
func TestEndlessResponse_AfterCompleteResponse(t *testing.T) {
	f := newFixture(t)
	plain := f.addPlain("treasury-1")
	plain.Inject(standin.Fault{Kind: standin.FaultOverlong, Count: 1})
	status, text := f.postAndRead("Treasury/Pay", `{}`)
	require.Equal(t, 200, status)
	require.JSONEq(t, `{"Service":"Treasury","Call":"Pay","Key":"","Run":1}`, text)
	eventually(t, func() bool { return plain.EndlessResponses() == 0 }, "the connection is closed")
}

// Many endless bodies at a time must not fill the memory of a small host.
func TestEndlessResponse_MemoryOfAllResponsesIsLimited(t *testing.T) {
	const bodies, limit = 64, 8 << 20
	f := newFixture(t, WithMaxBufferedBytes(limit), WithRetries(1, 0))
	f.addPlain("treasury-1").Inject(standin.Fault{Kind: standin.FaultEndless, Count: bodies})
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	for range bodies {
		group.Go(func() {
			status, text := f.postAndRead("Treasury/Pay", `{}`)
			require.Equal(t, "Unknown", executionResult(status, text))
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	peak := uint64(0)
	for finished := false; !finished; {
		select {
		case <-done:
			finished = true
		default:
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak = max(peak, now.HeapInuse)
		}
	}
	// A buffer and its larger copy exist at once, and the collector runs at twice the
	// memory in use. Without the limit, the bodies would take 32 MiB each.
	require.Less(t, peak-min(peak, before.HeapInuse), uint64(8*limit))
	require.Equal(t, limit, f.gateway.responseMemory.free)
}
