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

// sentFaults are failures after the request has left.
var sentFaults = []standin.FaultKind{
	standin.FaultNoResponse, standin.FaultConnectionClosed, standin.FaultMissingEnd, standin.FaultRequestMismatch,
	standin.FaultDelayed, standin.FaultEndless,
}

func TestAPaymentThatMayHaveRunIsNeverRunAgain(t *testing.T) {
	for _, kind := range sentFaults {
		t.Run(string(kind), func(t *testing.T) {
			b := newFixture(t, WithAnswerBytes(1<<20))
			plain := b.plain("treasury-1")
			other := b.plain("treasury-2")
			b.retries("Treasury", 5)
			b.silenceFor(kind)
			plain.Inject(standin.Fault{Kind: kind, Count: 1, Delay: time.Second})

			status, text := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
			require.Equal(t, 502, status)
			require.Contains(t, text, `"Ran":"Unknown"`)
			require.Equal(t, []string{"Open", "Doubt"}, b.claims.history())

			status, text = b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
			require.Equal(t, 502, status)
			require.Contains(t, text, `"Code":"InDoubt"`)
			require.Contains(t, text, `"Ran":"Unknown"`)
			require.Equal(t, 1, plain.TotalRuns()+other.TotalRuns())
		})
	}
}

func TestAPaymentWithoutAKeyIsSentOnce(t *testing.T) {
	for _, kind := range sentFaults {
		b := newFixture(t, WithAnswerBytes(1<<20))
		plain := b.plain("treasury-1")
		other := b.plain("treasury-2")
		b.retries("Treasury", 5)
		b.silenceFor(kind)
		plain.Inject(standin.Fault{Kind: kind, Count: 1, Delay: time.Second})
		status, text := b.get("Treasury/Pay", payment)
		require.Equal(t, 502, status, kind)
		require.Contains(t, text, `"Ran":"Unknown"`)
		require.Equal(t, 1, plain.TotalRuns()+other.TotalRuns())
		require.Empty(t, b.claims.history())
	}
}

func TestNotRunIsTrue(t *testing.T) {
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
		{"no target", func(b *fixture) { b.admitter.targets = nil }, 503, "NoTarget", []string{"Open", "Cancel"}},
		{"lease over after the permit", func(b *fixture) {
			b.admitter.onGrant = func() { b.authority.over.Store(true) }
		}, 503, "NotReady", []string{"Open", "Cancel"}},
		{"permit expired", func(b *fixture) { b.admitter.targets[0].ValidFor = 1 }, 503, "NotReady", []string{"Open", "Cancel"}},
		{"unreachable", func(b *fixture) { b.admitter.targets[0].Address = closedPort(b.t) }, 503, "TargetFailed", []string{"Open", "Cancel"}},
		{"no quorum", func(b *fixture) { b.claims.failOpen = true }, 503, "ClaimsUnavailable", []string{"Open"}},
		{"a dependency is down", func(b *fixture) { b.catalog.unavailable.Store(true) }, 503, "Dependency", nil},
		{"no fleet", func(b *fixture) { b.catalog.none.Store(true) }, 503, "NotReady", nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t)
			plain := b.plain("treasury-1")
			test.prepare(b)
			response := b.post("Treasury/Pay", payment, HeaderKey, "pay-1")
			text, err := read(response)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.Contains(t, text, `"Code":"`+test.code+`"`)
			require.Contains(t, text, `"Ran":"No"`)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.Equal(t, test.claim, b.claims.history())
			require.Zero(t, plain.TotalRuns())
			for _, outcome := range b.admitter.outcomes() {
				require.NotEqual(t, admission.OutcomeDone, outcome)
			}
		})
	}
}

// closedPort returns an address at which nothing listens.
func closedPort(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func TestAPaymentGoesToAnotherTargetWhileNoByteHasLeft(t *testing.T) {
	b := newFixture(t)
	b.permit("treasury-0", closedPort(t))
	plain := b.plain("treasury-1")
	b.retries("Treasury", 1)
	status, _ := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	require.Equal(t, 1, plain.RunsByKey("pay-1"))
	require.Equal(t, []admission.Outcome{admission.OutcomeUnreachable, admission.OutcomeDone}, b.admitter.outcomes())
}

func TestAKeyStandsForOneRequest(t *testing.T) {
	b := newFixture(t)
	plain := b.plain("treasury-1")
	status, _ := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	status, text := b.get("Treasury/Pay", `{"Amount":999}`, HeaderKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Code":"KeyConflict"`)
	require.Contains(t, text, `"Ran":"No"`)
	require.Equal(t, 1, plain.TotalRuns())
}

func TestATrueAnswerIsGivenThoughItsClaimCannotBeFinished(t *testing.T) {
	b := newFixture(t)
	plain := b.plain("treasury-1")
	b.claims.failFinish = true
	status, text := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	status, text = b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	require.Equal(t, 1, plain.TotalRuns())
}

// A claim whose opening fails may be that of an earlier request: cancelling it
// would make "not run" false.
func TestAFailedOpeningDoesNotCancelTheClaimOfAnEarlierRequest(t *testing.T) {
	b := newFixture(t)
	plain := b.plain("treasury-1")
	plain.Inject(standin.Fault{Kind: standin.FaultConnectionClosed, Count: 1})
	status, _ := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 502, status)
	b.claims.failOpen = true
	status, _ = b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 503, status)
	b.claims.failOpen = false
	status, text := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 502, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	require.Equal(t, []string{"Open", "Doubt", "Open", "Open"}, b.claims.history())
	require.Equal(t, 1, plain.TotalRuns())
}

func TestAKeyIsDispatchedOnceThoughTheQuorumOpensItTwice(t *testing.T) {
	b := newFixture(t)
	plain := b.plain("treasury-1")
	b.claims.failFinish = true
	status, _ := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	b.claims.mu.Lock()
	clear(b.claims.claims)
	b.claims.mu.Unlock()
	status, text := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Code":"Running"`)
	require.Equal(t, 1, plain.TotalRuns())
}

func TestAnAnswerIsNotHeldBackByASlowQuorum(t *testing.T) {
	b := newFixture(t, WithClaimTimeout(long, 10*time.Millisecond))
	plain := b.plain("treasury-1")
	b.claims.blockFinish = make(chan struct{})
	status, text := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	status, text = b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Code":"Running"`)
	close(b.claims.blockFinish)
	eventually(t, func() bool { return len(b.claims.history()) == 2 }, "the outcome is stored")
	eventually(t, func() bool {
		status, _ := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
		return status == 200
	}, "the stored answer is given")
	require.Equal(t, 1, plain.TotalRuns())
}

func TestAnAnswerTooLongToStoreIsToldAsRun(t *testing.T) {
	b := newFixture(t, WithStoredBytes(8))
	b.plain("treasury-1")
	status, _ := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	status, text := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 409, status)
	require.Contains(t, text, `"Ran":"Yes"`)
}

func TestAFilingStreamIsStoredAndReplayed(t *testing.T) {
	b := newFixture(t)
	engine := b.engine(standin.EngineSettings{Name: "engine-1"})
	status, text := b.get("Reviews/File", dossier, HeaderKey, "file-1")
	require.Equal(t, 200, status)
	require.Equal(t, wantTokens(dossier, 12), parseStream(t, text).tokens)
	status, again := b.get("Reviews/File", dossier, HeaderKey, "file-1")
	require.Equal(t, 200, status)
	require.Equal(t, text, again)
	require.Equal(t, 1, engine.Stats().Requests)
}

func TestACutFilingIsNotResumed(t *testing.T) {
	b := newFixture(t)
	engine := b.engine(standin.EngineSettings{Name: "engine-1"})
	b.engine(standin.EngineSettings{Name: "engine-2"})
	b.retries("Reviews", 5)
	engine.Inject(standin.Fault{Kind: standin.FaultConnectionClosed, AfterEvents: 4, Count: 1})
	text, err := read(b.post("Reviews/File", dossier, HeaderKey, "file-1"))
	require.Error(t, err)
	require.Contains(t, parseStream(t, text).failed, `"Ran":"Unknown"`)
	require.Equal(t, []string{"Open", "Doubt"}, b.claims.history())
	require.Equal(t, 1, b.admitter.grants())
}

func TestAPaymentRunsToItsEndWhenItsCallersTimeoutIsShort(t *testing.T) {
	b := newFixture(t)
	plain, err := standin.NewPlainService(clockwork.NewRealClock(), standin.PlainServiceSettings{Name: "treasury-1", Latency: 700 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(plain.Close)
	b.permit("treasury-1", plain.Address())
	status, text := b.get("Treasury/Pay", payment, HeaderKey, "pay-1", HeaderTimeout, "500ms")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	require.Equal(t, []string{"Open", "Finish"}, b.claims.history())
}

func TestAPaymentRunsToItsEndWhenItsCallerGoesAway(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newFixture(t)
	plain, err := standin.NewPlainService(clock, standin.PlainServiceSettings{Name: "treasury-1", Latency: time.Minute})
	require.NoError(t, err)
	t.Cleanup(plain.Close)
	b.permit("treasury-1", plain.Address())

	ctx, leave := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		_, err := b.tryPost(ctx, "Treasury/Pay", payment, HeaderKey, "pay-1")
		left <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	leave()
	require.Error(t, <-left)
	clock.Advance(time.Minute)
	eventually(t, func() bool { return len(b.claims.history()) == 2 }, "the outcome is stored")
	require.Equal(t, []string{"Open", "Finish"}, b.claims.history())
	status, text := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	require.Contains(t, text, `"Run":1`)
	require.Equal(t, 1, plain.RunsByKey("pay-1"))
}

// However often a payment is sent, and whatever its targets do, it runs at most
// once, and an answer "not run" to its first sending is true.
func TestAPaymentRunsAtMostOnce(t *testing.T) {
	b := newFixture(t, WithAnswerBytes(1<<20))
	b.silence(30 * time.Millisecond)
	b.permit("treasury-0", closedPort(t))
	plains := []*standin.PlainService{b.plain("treasury-1"), b.plain("treasury-2")}
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		key := "pay-" + string(rune('a'+number%26)) + b.gateway.nextID()
		for _, plain := range plains {
			plain.Clear()
			if rapid.Bool().Draw(t, "faulty") {
				kind := rapid.SampledFrom([]standin.FaultKind{standin.FaultConnectionClosed, standin.FaultMissingEnd, standin.FaultRequestMismatch, standin.FaultNoResponse}).Draw(t, "kind")
				plain.Inject(standin.Fault{Kind: kind, Count: 1})
			}
		}
		b.retries("Treasury", rapid.IntRange(0, 2).Draw(t, "retries"))
		answers := b.sendTogether(key, rapid.IntRange(1, 4).Draw(t, "senders"))
		runs := plains[0].RunsByKey(key) + plains[1].RunsByKey(key)
		require.LessOrEqual(t, runs, 1)
		if answers["Done"] > 0 {
			require.Equal(t, 1, runs)
		}
		if answers["No"] > 0 && answers["Done"]+answers["Unknown"] == 0 {
			require.Zero(t, runs)
		}
	})
}

// sendTogether sends a payment several times at once and counts the answers.
func (b *fixture) sendTogether(key string, senders int) map[string]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := map[string]int{}
	for range senders {
		group.Go(func() {
			status, text := b.get("Treasury/Pay", payment, HeaderKey, key)
			mu.Lock()
			defer mu.Unlock()
			answers[ranOf(status, text)]++
		})
	}
	group.Wait()
	return answers
}
