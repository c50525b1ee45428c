package gateway

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const payment = `{"Amount":250}`

// faultsAfterSend are faults that occur after the request has been sent.
var faultsAfterSend = []standin.FaultKind{
	standin.FaultSilent, standin.FaultCut, standin.FaultTruncated, standin.FaultCrossed,
	standin.FaultLate, standin.FaultNeverEnding,
}

func TestAtMostOnce_FaultAfterSendIsNotRetried(t *testing.T) {
	for _, kind := range faultsAfterSend {
		t.Run(string(kind), func(t *testing.T) {
			b := newFixture(t, WithMaxResponseBytes(1<<20))
			plain := b.addPlain("treasury-1")
			other := b.addPlain("treasury-2")
			b.setRetryTokens("Treasury", 5)
			b.shortenTimeoutFor(kind)
			plain.Inject(standin.Fault{Kind: kind, Times: 1, Delay: time.Second})

			status, text := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
			require.Equal(t, 502, status)
			require.Contains(t, text, `"Ran":"Unknown"`)
			require.Equal(t, []string{"Open", "Doubt"}, b.claims.recordedCalls())

			status, text = b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
			require.Equal(t, 502, status)
			require.Contains(t, text, `"Code":"InDoubt"`)
			require.Contains(t, text, `"Ran":"Unknown"`)
			require.Equal(t, 1, plain.Total()+other.Total())
		})
	}
}

func TestAtMostOnce_FaultAfterSendWithoutKeyIsNotRetried(t *testing.T) {
	for _, kind := range faultsAfterSend {
		b := newFixture(t, WithMaxResponseBytes(1<<20))
		plain := b.addPlain("treasury-1")
		other := b.addPlain("treasury-2")
		b.setRetryTokens("Treasury", 5)
		b.shortenTimeoutFor(kind)
		plain.Inject(standin.Fault{Kind: kind, Times: 1, Delay: time.Second})
		status, text := b.postAndRead("Treasury/Pay", payment)
		require.Equal(t, 502, status, kind)
		require.Contains(t, text, `"Ran":"Unknown"`)
		require.Equal(t, 1, plain.Total()+other.Total())
		require.Empty(t, b.claims.recordedCalls())
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
		{"refused", func(b *fixture) {
			b.admitter.refusal = &admission.Refusal{Code: admission.RefusedQueueFull, RetryAfter: 3 * time.Second}
		}, 429, "QueueFull", []string{"Open", "Cancel"}},
		{"no target", func(b *fixture) { b.admitter.permits = nil }, 503, "NoTarget", []string{"Open", "Cancel"}},
		{"lease expired after the permit", func(b *fixture) {
			b.admitter.onGrant = func() { b.authority.leaseExpired.Store(true) }
		}, 503, "NotReady", []string{"Open", "Cancel"}},
		{"permit expired", func(b *fixture) { b.admitter.permits[0].ValidFor = 1 }, 503, "NotReady", []string{"Open", "Cancel"}},
		{"unreachable", func(b *fixture) { b.admitter.permits[0].Address = closedPort(b.t) }, 503, "TargetFailed", []string{"Open", "Cancel"}},
		{"no quorum", func(b *fixture) { b.claims.failOpen = true }, 503, "ClaimsUnavailable", []string{"Open"}},
		{"a dependency is down", func(b *fixture) { b.catalog.unavailable.Store(true) }, 503, "Dependency", nil},
		{"no fleet", func(b *fixture) { b.catalog.noFleet.Store(true) }, 503, "NotReady", nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t)
			plain := b.addPlain("treasury-1")
			test.prepare(b)
			response := b.post("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
			text, err := readBody(response)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.Contains(t, text, `"Code":"`+test.code+`"`)
			require.Contains(t, text, `"Ran":"No"`)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.Equal(t, test.claim, b.claims.recordedCalls())
			require.Zero(t, plain.Total())
			for _, outcome := range b.admitter.outcomes() {
				require.NotEqual(t, admission.OutcomeDone, outcome)
			}
		})
	}
}

// closedPort returns an address on which nothing listens.
func closedPort(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func TestAtMostOnce_UnreachableTargetIsRetried(t *testing.T) {
	b := newFixture(t)
	b.addTarget("treasury-0", closedPort(t))
	plain := b.addPlain("treasury-1")
	b.setRetryTokens("Treasury", 1)
	status, _ := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Equal(t, 1, plain.Runs("pay-1"))
	require.Equal(t, []admission.Outcome{admission.OutcomeUnreachable, admission.OutcomeDone}, b.admitter.outcomes())
}

func TestIdempotencyKey_DifferentBodyConflicts(t *testing.T) {
	b := newFixture(t)
	plain := b.addPlain("treasury-1")
	status, _ := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	status, text := b.postAndRead("Treasury/Pay", `{"Amount":999}`, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Code":"KeyConflict"`)
	require.Contains(t, text, `"Ran":"No"`)
	require.Equal(t, 1, plain.Total())
}

func TestClaim_ResponseReturnedIfFinishFails(t *testing.T) {
	b := newFixture(t)
	plain := b.addPlain("treasury-1")
	b.claims.failFinish = true
	status, text := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	status, text = b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	require.Equal(t, 1, plain.Total())
}

// A claim whose opening fails may belong to an earlier request that was sent.
// Cancelling it would report that request as not run.
func TestClaim_FailedOpenDoesNotCancelEarlierClaim(t *testing.T) {
	b := newFixture(t)
	plain := b.addPlain("treasury-1")
	plain.Inject(standin.Fault{Kind: standin.FaultCut, Times: 1})
	status, _ := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 502, status)
	b.claims.failOpen = true
	status, _ = b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 503, status)
	b.claims.failOpen = false
	status, text := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 502, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	require.Equal(t, []string{"Open", "Doubt", "Open", "Open"}, b.claims.recordedCalls())
	require.Equal(t, 1, plain.Total())
}

func TestClaim_DispatchedOnceIfOpenedTwice(t *testing.T) {
	b := newFixture(t)
	plain := b.addPlain("treasury-1")
	b.claims.failFinish = true
	status, _ := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	b.claims.mu.Lock()
	clear(b.claims.claims)
	b.claims.mu.Unlock()
	status, text := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Code":"Running"`)
	require.Equal(t, 1, plain.Total())
}

func TestClaim_SlowCommitDoesNotDelayResponse(t *testing.T) {
	b := newFixture(t, WithClaimTimeout(neverElapses, 10*time.Millisecond))
	plain := b.addPlain("treasury-1")
	b.claims.blockFinish = make(chan struct{})
	status, text := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	status, text = b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Code":"Running"`)
	close(b.claims.blockFinish)
	eventually(t, func() bool { return len(b.claims.recordedCalls()) == 2 }, "the outcome is stored")
	eventually(t, func() bool {
		status, _ := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
		return status == 200
	}, "the stored response is replayed")
	require.Equal(t, 1, plain.Total())
}

func TestClaim_TruncatedResponseReportsRan(t *testing.T) {
	b := newFixture(t, WithMaxStoredBytes(8))
	b.addPlain("treasury-1")
	status, _ := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	status, text := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Ran":"Yes"`)
}

func TestAtMostOnceStream_StoredAndReplayed(t *testing.T) {
	b := newFixture(t)
	engine := b.addEngine(standin.EngineSettings{Name: "engine-1"})
	status, text := b.postAndRead("Reviews/File", dossier, HeaderIdempotencyKey, "file-1")
	require.Equal(t, 200, status)
	require.Equal(t, expectedTokens(dossier, 12), parseStream(t, text).tokens)
	status, again := b.postAndRead("Reviews/File", dossier, HeaderIdempotencyKey, "file-1")
	require.Equal(t, 200, status)
	require.Equal(t, text, again)
	require.Equal(t, 1, engine.Stats().Requests)
}

func TestAtMostOnceStream_CutIsNotResumed(t *testing.T) {
	b := newFixture(t)
	engine := b.addEngine(standin.EngineSettings{Name: "engine-1"})
	b.addEngine(standin.EngineSettings{Name: "engine-2"})
	b.setRetryTokens("Reviews", 5)
	engine.Inject(standin.Fault{Kind: standin.FaultCut, After: 4, Times: 1})
	text, err := readBody(b.post("Reviews/File", dossier, HeaderIdempotencyKey, "file-1"))
	require.Error(t, err)
	require.Contains(t, parseStream(t, text).failureData, `"Ran":"Unknown"`)
	require.Equal(t, []string{"Open", "Doubt"}, b.claims.recordedCalls())
	require.Equal(t, 1, b.admitter.grants())
}

func TestAtMostOnce_CompletesAfterCallerTimeout(t *testing.T) {
	b := newFixture(t)
	plain, err := standin.NewPlain(clockwork.NewRealClock(), standin.PlainSettings{Name: "treasury-1", Latency: 700 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(plain.Close)
	b.addTarget("treasury-1", plain.Address())
	status, text := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1", HeaderTimeout, "500ms")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	require.Equal(t, []string{"Open", "Finish"}, b.claims.recordedCalls())
}

func TestAtMostOnce_CompletesAfterCallerDisconnects(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newFixture(t)
	plain, err := standin.NewPlain(clock, standin.PlainSettings{Name: "treasury-1", Latency: time.Minute})
	require.NoError(t, err)
	t.Cleanup(plain.Close)
	b.addTarget("treasury-1", plain.Address())

	ctx, disconnect := context.WithCancel(context.Background())
	callErr := make(chan error, 1)
	go func() {
		_, err := b.tryPost(ctx, "Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
		callErr <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	disconnect()
	require.Error(t, <-callErr)
	clock.Advance(time.Minute)
	eventually(t, func() bool { return len(b.claims.recordedCalls()) == 2 }, "the outcome is stored")
	require.Equal(t, []string{"Open", "Finish"}, b.claims.recordedCalls())
	status, text := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	require.Equal(t, 1, plain.Runs("pay-1"))
}

// Sends a payment several times while its targets fail. It must run at most
// once, and the result "not run" must be true if no other result was returned.
func TestAtMostOnce_RandomFaults(t *testing.T) {
	b := newFixture(t, WithMaxResponseBytes(1<<20))
	b.setTargetTimeout(30 * time.Millisecond)
	b.addTarget("treasury-0", closedPort(t))
	plains := []*standin.Plain{b.addPlain("treasury-1"), b.addPlain("treasury-2")}
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		key := "pay-" + string(rune('a'+number%26)) + b.gateway.nextID()
		for _, plain := range plains {
			plain.Clear()
			if rapid.Bool().Draw(t, "faulty") {
				kind := rapid.SampledFrom([]standin.FaultKind{standin.FaultCut, standin.FaultTruncated, standin.FaultCrossed, standin.FaultSilent}).Draw(t, "kind")
				plain.Inject(standin.Fault{Kind: kind, Times: 1})
			}
		}
		b.setRetryTokens("Treasury", rapid.IntRange(0, 2).Draw(t, "retries"))
		results := b.sendConcurrently(key, rapid.IntRange(1, 4).Draw(t, "senders"))
		runs := plains[0].Runs(key) + plains[1].Runs(key)
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
func (b *fixture) sendConcurrently(key string, senders int) map[string]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	results := map[string]int{}
	for range senders {
		group.Go(func() {
			status, text := b.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, key)
			mu.Lock()
			defer mu.Unlock()
			results[executionResult(status, text)]++
		})
	}
	group.Wait()
	return results
}
