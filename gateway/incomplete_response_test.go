package gateway

import (
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const dossier = `{"Tokens":12,"Prompt":"dossier 17"}`

// setRetryTokens sets the retry budget of a service to n retries.
func (f *fixture) setRetryTokens(service string, n int) {
	bucket := f.gateway.retryBudgets.forService(service)
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	bucket.tokens = n * retryCost
}

// counterValue returns the value of a counter without tags.
func (f *fixture) counterValue(name string) int64 {
	for _, counter := range f.scope.Snapshot().Counters() {
		if counter.Name() == name && len(counter.Tags()) == 0 {
			return counter.Value()
		}
	}
	return 0
}

func TestFaultyStream_CompletedOnAnotherConnection(t *testing.T) {
	cases := []struct {
		name    string
		fault   standin.Fault
		resumed int64
		retried int64
	}{
		{"cut", standin.Fault{Kind: standin.FaultConnectionClosed, AfterEvents: 4}, 1, 0},
		{"truncated: last chunk but no end mark", standin.Fault{Kind: standin.FaultMissingEnd, AfterEvents: 4}, 1, 0},
		{"truncated after every token", standin.Fault{Kind: standin.FaultMissingEnd, AfterEvents: 12}, 1, 0},
		{"crossed after some events", standin.Fault{Kind: standin.FaultRequestMismatch, AfterEvents: 4}, 1, 0},
		{"stalled", standin.Fault{Kind: standin.FaultStalled, AfterEvents: 4}, 1, 0},
		{"duplicated events", standin.Fault{Kind: standin.FaultDuplicate}, 0, 0},
		{"crossed before the first event", standin.Fault{Kind: standin.FaultRequestMismatch}, 0, 1},
		{"cut before the first event", standin.Fault{Kind: standin.FaultConnectionClosed}, 0, 1},
		{"silent", standin.Fault{Kind: standin.FaultNoResponse}, 0, 1},
		{"late", standin.Fault{Kind: standin.FaultDelayed, Delay: time.Second}, 0, 1},
		{"error status", standin.Fault{Kind: standin.FaultError}, 0, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			first := f.addEngine(standin.EngineSettings{Name: "engine-1"})
			f.addEngine(standin.EngineSettings{Name: "engine-2"})
			f.setRetryTokens("Reviews", 1)
			f.shortenTimeoutFor(test.fault.Kind)
			test.fault.Count = 1
			first.Inject(test.fault)

			text, err := readBody(f.post("Reviews/Draft", dossier, HeaderChat, "c-17"))
			require.NoError(t, err)
			stream := parseStream(t, text)
			require.Equal(t, expectedTokens(dossier, 12), stream.tokens)
			require.Contains(t, stream.end, `"Events":12`)
			require.Equal(t, test.resumed, f.counterValue("resumed_streams"))
			require.Equal(t, test.retried, f.counterValue("retries"))
			eventually(t, func() bool { return len(f.admitter.outcomes()) == f.admitter.grants() }, "every permit is released")
		})
	}
}

func TestIncompleteStream_ErrorIfNotResumable(t *testing.T) {
	faults := map[string]standin.Fault{
		"cut":          {Kind: standin.FaultConnectionClosed, AfterEvents: 4},
		"truncated":    {Kind: standin.FaultMissingEnd, AfterEvents: 4},
		"crossed":      {Kind: standin.FaultRequestMismatch, AfterEvents: 4},
		"stalled":      {Kind: standin.FaultStalled, AfterEvents: 4},
		"never ending": {Kind: standin.FaultEndless},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			engine := f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: time.Millisecond})
			f.admitter.permits[0].Resumes = false
			f.shortenTimeoutFor(fault.Kind)
			engine.Inject(fault)

			text, err := readBody(f.post("Reviews/Draft", dossier, HeaderTimeout, "600ms"))
			require.Error(t, err, "the connection closes without the last chunk")
			stream := parseStream(t, text)
			require.Empty(t, stream.end)
			require.Contains(t, stream.failureData, `"Ran":"Unknown"`)
			if fault.AfterEvents > 0 {
				require.Equal(t, expectedTokens(dossier, 4), stream.tokens)
			}
			eventually(t, func() bool { return len(f.admitter.outcomes()) == 1 }, "the permit is released")
			require.Equal(t, admission.OutcomeFailed, f.admitter.outcomes()[0])
			eventually(t, func() bool { return engine.InFlight() == 0 }, "the engine has no request in flight")
		})
	}
}

func TestIncompletePlainResponse_IsRetried(t *testing.T) {
	for _, kind := range []standin.FaultKind{
		standin.FaultConnectionClosed, standin.FaultMissingEnd, standin.FaultRequestMismatch, standin.FaultNoResponse,
		standin.FaultEndless, standin.FaultError,
	} {
		t.Run(string(kind), func(t *testing.T) {
			f := newFixture(t, WithMaxResponseBytes(1<<20))
			first := f.addPlain("treasury-1")
			second := f.addPlain("treasury-2")
			f.setRetryTokens("Treasury", 1)
			f.shortenTimeoutFor(kind)
			first.Inject(standin.Fault{Kind: kind, Count: 1})

			status, text := f.postAndRead("Treasury/Balance", `{}`, HeaderIdempotencyKey, "ask")
			require.Equal(t, 200, status)
			require.JSONEq(t, `{"Service":"Treasury","Call":"Balance","Key":"ask","Run":1}`, text)
			require.Equal(t, 1, second.RunsByKey("ask"))
		})
	}
}

func TestDuplicatedPlainResponse_NotReturnedToAnotherRequest(t *testing.T) {
	f := newFixture(t)
	plain := f.addPlain("treasury-1")
	plain.Inject(standin.Fault{Kind: standin.FaultDuplicate})
	for _, key := range []string{"a", "b", "c", "d"} {
		status, text := f.postAndRead("Treasury/Balance", `{}`, HeaderIdempotencyKey, key)
		require.Equal(t, 200, status)
		require.Contains(t, text, `"Key":"`+key+`"`)
	}
}

func TestLateResponse_NotReturnedToAnotherRequest(t *testing.T) {
	f := newFixture(t)
	plain := f.addPlain("treasury-1")
	f.setTargetTimeout(shortTargetTimeout)
	plain.Inject(standin.Fault{Kind: standin.FaultDelayed, Count: 1, Delay: 2 * shortTargetTimeout})

	status, text := f.postAndRead("Treasury/Balance", `{}`, HeaderIdempotencyKey, "late")
	require.Equal(t, 502, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	for answered := false; !answered; {
		answered = plain.InFlight() == 0
		status, text = f.postAndRead("Treasury/Balance", `{}`, HeaderIdempotencyKey, "next")
		require.Equal(t, 200, status)
		require.Contains(t, text, `"Key":"next"`)
	}
}

func TestRelease_ReportsFirstByteLatency(t *testing.T) {
	f := newFixture(t)
	first := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.addEngine(standin.EngineSettings{Name: "engine-2", FirstByte: 20 * time.Millisecond})
	f.setRetryTokens("Reviews", 1)
	f.setTargetTimeout(shortTargetTimeout)
	first.Inject(standin.Fault{Kind: standin.FaultNoResponse, Count: 1})
	f.postAndRead("Reviews/Draft", dossier)
	eventually(t, func() bool { return len(f.admitter.outcomes()) == 2 }, "both permits are released")
	f.admitter.mu.Lock()
	defer f.admitter.mu.Unlock()
	for _, release := range f.admitter.released {
		if release.Target == "engine-1" {
			require.Equal(t, admission.OutcomeFailed, release.Outcome)
			require.Zero(t, release.FirstByte)
			continue
		}
		require.Equal(t, admission.OutcomeDone, release.Outcome)
		require.GreaterOrEqual(t, release.FirstByte, 20*time.Millisecond)
	}
}

func TestRelease_OncePerPermitIfResumeFails(t *testing.T) {
	f := newFixture(t)
	first := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	second := f.addEngine(standin.EngineSettings{Name: "engine-2"})
	first.Inject(standin.Fault{Kind: standin.FaultRequestMismatch, AfterEvents: 4})
	second.Inject(standin.Fault{Kind: standin.FaultError})
	text, err := readBody(f.post("Reviews/Draft", dossier))
	require.Error(t, err)
	require.Equal(t, expectedTokens(dossier, 4), parseStream(t, text).tokens)
	eventually(t, func() bool { return len(f.admitter.outcomes()) == 2 && f.gateway.InFlight() == 0 }, "both permits are released")
	require.NoError(t, f.gateway.Drain(t.Context()))
	require.Len(t, f.admitter.outcomes(), f.admitter.grants())
}

// Injects random faults. A caller must receive either the complete response or
// an error that is detectable.
func TestStream_CompleteOrErrorWithRandomFaults(t *testing.T) {
	f := newFixture(t)
	f.setTargetTimeout(30 * time.Millisecond)
	engines := []*standin.Engine{
		f.addEngine(standin.EngineSettings{Name: "engine-1"}),
		f.addEngine(standin.EngineSettings{Name: "engine-2"}),
	}
	kinds := []standin.FaultKind{
		standin.FaultConnectionClosed, standin.FaultMissingEnd, standin.FaultDuplicate, standin.FaultRequestMismatch,
		standin.FaultError, standin.FaultStalled, standin.FaultNoResponse,
	}
	completed := 0
	rapid.Check(t, func(t *rapid.T) {
		for _, engine := range engines {
			engine.Clear()
			for range rapid.IntRange(0, 2).Draw(t, "faults") {
				engine.Inject(standin.Fault{
					Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Count: 1,
					AfterEvents: rapid.IntRange(0, 13).Draw(t, "after"),
				})
			}
		}
		f.setRetryTokens("Reviews", rapid.IntRange(0, 2).Draw(t, "retries"))
		response := f.post("Reviews/Draft", dossier, HeaderChat, "c-1")
		text, err := readBody(response)
		if response.StatusCode != 200 {
			require.Contains(t, text, `"Ran":"`)
			return
		}
		stream := parseStream(f.t, text)
		if stream.end == "" {
			require.Error(t, err)
			require.NotEmpty(t, stream.failureData)
			require.Equal(t, expectedTokens(dossier, 12)[:len(stream.tokens)], stream.tokens)
			return
		}
		require.NoError(t, err)
		require.Equal(t, expectedTokens(dossier, 12), stream.tokens)
		completed++
	})
	require.Positive(t, completed)
}
