package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// paymentBody is the body of a Pay call, which is not idempotent.
const paymentBody = `{"Amount":250}`

// faultsAfterSend are faults that occur after the request has been sent.
var faultsAfterSend = []standin.FaultKind{
	standin.FaultNoResponse, standin.FaultConnectionClosed, standin.FaultMissingEnd, standin.FaultRequestMismatch,
	standin.FaultDelayed, standin.FaultEndless,
}

func TestAtMostOnce_FaultAfterSendIsNotRetried(t *testing.T) {
	for _, kind := range faultsAfterSend {
		t.Run(string(kind), func(t *testing.T) {
			f := newFixture(t, WithMaxResponseBytes(1<<20))
			plain := f.addPlain("treasury-1")
			other := f.addPlain("treasury-2")
			f.setRetryTokens("Treasury", 5)
			f.shortenTimeoutFor(kind)
			plain.Inject(standin.Fault{Kind: kind, Count: 1, Delay: time.Second})

			status, text := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
			require.Equal(t, 502, status)
			require.Contains(t, text, `"Ran":"Unknown"`)
			require.Equal(t, []string{"Open", "Doubt"}, f.claims.recordedCalls())

			status, text = f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
			require.Equal(t, 502, status)
			require.Contains(t, text, `"Code":"InDoubt"`)
			require.Contains(t, text, `"Ran":"Unknown"`)
			require.Equal(t, 1, plain.TotalRuns()+other.TotalRuns())
		})
	}
}

func TestAtMostOnce_FaultAfterSendWithoutKeyIsNotRetried(t *testing.T) {
	for _, kind := range faultsAfterSend {
		f := newFixture(t, WithMaxResponseBytes(1<<20))
		plain := f.addPlain("treasury-1")
		other := f.addPlain("treasury-2")
		f.setRetryTokens("Treasury", 5)
		f.shortenTimeoutFor(kind)
		plain.Inject(standin.Fault{Kind: kind, Count: 1, Delay: time.Second})
		status, text := f.postAndRead("Treasury/Pay", paymentBody)
		require.Equal(t, 502, status, kind)
		require.Contains(t, text, `"Ran":"Unknown"`)
		require.Equal(t, 1, plain.TotalRuns()+other.TotalRuns())
		require.Empty(t, f.claims.recordedCalls())
	}
}

func TestAtMostOnce_RanNoIfNotSent(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*fixture)
		status  int
		code    string
		claim   []string
	}{
		{"refused", func(f *fixture) {
			f.admitter.refusal = &admission.Refusal{Code: admission.RefusedQueueFull, RetryAfter: 3 * time.Second}
		}, 429, "QueueFull", []string{"Open", "Cancel"}},
		{"no target", func(f *fixture) { f.admitter.permits = nil }, 503, "NoTarget", []string{"Open", "Cancel"}},
		{"lease expired after the permit", func(f *fixture) {
			f.admitter.onGrant = func() { f.authority.leaseExpired.Store(true) }
		}, 503, "NotReady", []string{"Open", "Cancel"}},
		{"permit expired", func(f *fixture) { f.admitter.permits[0].ValidFor = 1 }, 503, "NotReady", []string{"Open", "Cancel"}},
		{"unreachable", func(f *fixture) { f.admitter.permits[0].Address = closedPort(f.t) }, 503, "TargetFailed", []string{"Open", "Cancel"}},
		{"no quorum", func(f *fixture) { f.claims.failOpen = true }, 503, "ClaimsUnavailable", []string{"Open"}},
		{"a dependency is down", func(f *fixture) { f.catalog.unavailable.Store(true) }, 503, "Dependency", nil},
		{"no fleet", func(f *fixture) { f.catalog.noFleet.Store(true) }, 503, "NotReady", nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			plain := f.addPlain("treasury-1")
			test.prepare(f)
			response := f.post("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
			text, err := readBody(response)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.Contains(t, text, `"Code":"`+test.code+`"`)
			require.Contains(t, text, `"Ran":"No"`)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.Equal(t, test.claim, f.claims.recordedCalls())
			require.Zero(t, plain.TotalRuns())
			for _, outcome := range f.admitter.outcomes() {
				require.NotEqual(t, admission.OutcomeDone, outcome)
			}
		})
	}
}

// closedPort returns an address on which nothing listens. Its port is out of the range
// from which listeners of other tests get theirs.
func closedPort(t testing.TB) string {
	const address = "127.0.0.1:1"
	_, err := net.Dial("tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	return address
}

func TestAtMostOnce_UnreachableTargetIsRetried(t *testing.T) {
	f := newFixture(t)
	f.addTarget("treasury-0", closedPort(t))
	plain := f.addPlain("treasury-1")
	f.setRetryTokens("Treasury", 1)
	status, _ := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Equal(t, 1, plain.RunsByKey("pay-1"))
	require.Equal(t, []admission.Outcome{admission.OutcomeUnreachable, admission.OutcomeDone}, f.admitter.outcomes())
}

func TestIdempotencyKey_DifferentBodyConflicts(t *testing.T) {
	f := newFixture(t)
	plain := f.addPlain("treasury-1")
	status, _ := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	status, text := f.postAndRead("Treasury/Pay", `{"Amount":999}`, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Code":"KeyConflict"`)
	require.Contains(t, text, `"Ran":"No"`)
	require.Equal(t, 1, plain.TotalRuns())
}

func TestClaim_ResponseReturnedIfFinishFails(t *testing.T) {
	f := newFixture(t)
	plain := f.addPlain("treasury-1")
	f.claims.failFinish = true
	status, text := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	status, text = f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	require.Equal(t, 1, plain.TotalRuns())
}

// A claim whose opening fails may belong to an earlier request that was sent.
// Cancelling it would report that request as not run.
func TestClaim_FailedOpenDoesNotCancelEarlierClaim(t *testing.T) {
	f := newFixture(t)
	plain := f.addPlain("treasury-1")
	plain.Inject(standin.Fault{Kind: standin.FaultConnectionClosed, Count: 1})
	status, _ := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 502, status)
	f.claims.failOpen = true
	status, _ = f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 503, status)
	f.claims.failOpen = false
	status, text := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 502, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	require.Equal(t, []string{"Open", "Doubt", "Open", "Open"}, f.claims.recordedCalls())
	require.Equal(t, 1, plain.TotalRuns())
}

func TestClaim_DispatchedOnceIfOpenedTwice(t *testing.T) {
	f := newFixture(t)
	plain := f.addPlain("treasury-1")
	f.claims.failFinish = true
	status, _ := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	f.claims.mu.Lock()
	clear(f.claims.claims)
	f.claims.mu.Unlock()
	status, text := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Code":"Running"`)
	require.Equal(t, 1, plain.TotalRuns())
}

func TestClaim_SlowCommitDoesNotDelayResponse(t *testing.T) {
	f := newFixture(t, WithClaimTimeout(neverElapses, 10*time.Millisecond))
	plain := f.addPlain("treasury-1")
	f.claims.blockFinish = make(chan struct{})
	status, text := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	status, text = f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Code":"Running"`)
	close(f.claims.blockFinish)
	eventually(t, func() bool { return len(f.claims.recordedCalls()) == 2 }, "the outcome is stored")
	eventually(t, func() bool {
		status, _ := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
		return status == 200
	}, "the stored response is replayed")
	require.Equal(t, 1, plain.TotalRuns())
}

func TestClaim_TruncatedResponseReportsRan(t *testing.T) {
	f := newFixture(t, WithMaxStoredBytes(8))
	f.addPlain("treasury-1")
	status, _ := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	status, text := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Ran":"Yes"`)
}

func TestAtMostOnceStream_StoredAndReplayed(t *testing.T) {
	f := newFixture(t)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	status, text := f.postAndRead("Reviews/File", draftBody, HeaderIdempotencyKey, "file-1")
	require.Equal(t, 200, status)
	require.Equal(t, expectedTokens(draftBody, 12), parseStream(t, text).tokens)
	status, again := f.postAndRead("Reviews/File", draftBody, HeaderIdempotencyKey, "file-1")
	require.Equal(t, 200, status)
	require.Equal(t, text, again)
	require.Equal(t, 1, engine.Stats().Requests)
}

func TestAtMostOnceStream_CutIsNotResumed(t *testing.T) {
	f := newFixture(t)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.addEngine(standin.EngineSettings{Name: "engine-2"})
	f.setRetryTokens("Reviews", 5)
	engine.Inject(standin.Fault{Kind: standin.FaultConnectionClosed, AfterEvents: 4, Count: 1})
	text, err := readBody(f.post("Reviews/File", draftBody, HeaderIdempotencyKey, "file-1"))
	require.Error(t, err)
	require.Contains(t, parseStream(t, text).failureData, `"Ran":"Unknown"`)
	require.Equal(t, []string{"Open", "Doubt"}, f.claims.recordedCalls())
	require.Equal(t, 1, f.admitter.grants())
}

func TestAtMostOnce_CompletesAfterCallerTimeout(t *testing.T) {
	f := newFixture(t)
	plain, err := standin.NewPlainService(clockwork.NewRealClock(), standin.PlainServiceSettings{Name: "treasury-1", Latency: 700 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(plain.Close)
	f.addTarget("treasury-1", plain.Address())
	status, text := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1", HeaderTimeout, "500ms")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	require.Equal(t, []string{"Open", "Finish"}, f.claims.recordedCalls())
}

func TestAtMostOnce_CompletesAfterCallerDisconnects(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixture(t)
	plain, err := standin.NewPlainService(clock, standin.PlainServiceSettings{Name: "treasury-1", Latency: time.Minute})
	require.NoError(t, err)
	t.Cleanup(plain.Close)
	f.addTarget("treasury-1", plain.Address())

	ctx, disconnect := context.WithCancel(context.Background())
	callErr := make(chan error, 1)
	go func() {
		_, err := f.tryPost(ctx, "Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
		callErr <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	disconnect()
	require.Error(t, <-callErr)
	clock.Advance(time.Minute)
	eventually(t, func() bool { return len(f.claims.recordedCalls()) == 2 }, "the outcome is stored")
	require.Equal(t, []string{"Open", "Finish"}, f.claims.recordedCalls())
	status, text := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	require.Equal(t, 1, plain.RunsByKey("pay-1"))
}

// Sends a payment several times while its targets fail. It must run at most
// once, exactly once if a sender received a response, and never if every sender
// received "not run".
func TestAtMostOnce_RandomFaults(t *testing.T) {
	f := newFixture(t, WithMaxResponseBytes(1<<20))
	f.setTargetTimeout(30 * time.Millisecond)
	f.addTarget("treasury-0", closedPort(t))
	plains := []*standin.PlainService{f.addPlain("treasury-1"), f.addPlain("treasury-2")}
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		key := "pay-" + string(rune('a'+number%26)) + f.gateway.nextID()
		for _, plain := range plains {
			plain.Clear()
			if rapid.Bool().Draw(t, "faulty") {
				kind := rapid.SampledFrom([]standin.FaultKind{standin.FaultConnectionClosed, standin.FaultMissingEnd, standin.FaultRequestMismatch, standin.FaultNoResponse}).Draw(t, "kind")
				plain.Inject(standin.Fault{Kind: kind, Count: 1})
			}
		}
		f.setRetryTokens("Treasury", rapid.IntRange(0, 2).Draw(t, "retries"))
		results := f.sendConcurrently(key, rapid.IntRange(1, 4).Draw(t, "senders"))
		runs := plains[0].RunsByKey(key) + plains[1].RunsByKey(key)
		require.LessOrEqual(t, runs, 1)
		if results["Done"] > 0 {
			require.Equal(t, 1, runs)
		}
		if results["No"] > 0 && results["Done"]+results["Unknown"] == 0 {
			require.Zero(t, runs)
		}
	})
}

// sendConcurrently sends a payment several times concurrently and counts the
// results.
func (f *fixture) sendConcurrently(key string, senders int) map[string]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	results := map[string]int{}
	for range senders {
		group.Go(func() {
			status, text := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, key)
			mu.Lock()
			defer mu.Unlock()
			results[executionResult(status, text)]++
		})
	}
	group.Wait()
	return results
}
