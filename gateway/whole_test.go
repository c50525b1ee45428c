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

// retries lets the next requests of a service be retried.
func (b *fixture) retries(service string, n int) {
	found := b.gateway.budgets.of(service)
	found.mu.Lock()
	defer found.mu.Unlock()
	found.tokens = n * retryCost
}

// counter returns the value of a metric without tags.
func (b *fixture) counter(name string) int64 {
	for _, counter := range b.scope.Snapshot().Counters() {
		if counter.Name() == name && len(counter.Tags()) == 0 {
			return counter.Value()
		}
	}
	return 0
}

func TestABrokenStreamIsMadeWholeByAnotherConnection(t *testing.T) {
	cases := []struct {
		name    string
		fault   standin.Fault
		resumed int64
		retried int64
	}{
		{"cut", standin.Fault{Kind: standin.FaultConnectionClosed, AfterEvents: 4}, 1, 0},
		{"truncated: last chunk but no end mark", standin.Fault{Kind: standin.FaultMissingEnd, AfterEvents: 4}, 1, 0},
		{"truncated after every token", standin.Fault{Kind: standin.FaultMissingEnd, AfterEvents: 12}, 1, 0},
		{"crossed within", standin.Fault{Kind: standin.FaultRequestMismatch, AfterEvents: 4}, 1, 0},
		{"stalled", standin.Fault{Kind: standin.FaultStalled, AfterEvents: 4}, 1, 0},
		{"duplicated events", standin.Fault{Kind: standin.FaultDuplicate}, 0, 0},
		{"crossed from the start", standin.Fault{Kind: standin.FaultRequestMismatch}, 0, 1},
		{"cut before the first event", standin.Fault{Kind: standin.FaultConnectionClosed}, 0, 1},
		{"silent", standin.Fault{Kind: standin.FaultNoResponse}, 0, 1},
		{"late", standin.Fault{Kind: standin.FaultDelayed, Delay: time.Second}, 0, 1},
		{"error status", standin.Fault{Kind: standin.FaultError}, 0, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t)
			first := b.engine(standin.EngineSettings{Name: "engine-1"})
			b.engine(standin.EngineSettings{Name: "engine-2"})
			b.retries("Reviews", 1)
			b.silenceFor(test.fault.Kind)
			test.fault.Count = 1
			first.Inject(test.fault)

			text, err := read(b.post("Reviews/Draft", dossier, HeaderChat, "c-17"))
			require.NoError(t, err)
			stream := parseStream(t, text)
			require.Equal(t, wantTokens(dossier, 12), stream.tokens)
			require.Contains(t, stream.end, `"Events":12`)
			require.Equal(t, test.resumed, b.counter("resumed_streams"))
			require.Equal(t, test.retried, b.counter("retries"))
			eventually(t, func() bool { return len(b.admitter.outcomes()) == b.admitter.grants() }, "every permit is released")
		})
	}
}

func TestAStreamThatCannotBeResumedFailsVisibly(t *testing.T) {
	faults := map[string]standin.Fault{
		"cut":          {Kind: standin.FaultConnectionClosed, AfterEvents: 4},
		"truncated":    {Kind: standin.FaultMissingEnd, AfterEvents: 4},
		"crossed":      {Kind: standin.FaultRequestMismatch, AfterEvents: 4},
		"stalled":      {Kind: standin.FaultStalled, AfterEvents: 4},
		"never ending": {Kind: standin.FaultEndless},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			engine := b.engine(standin.EngineSettings{Name: "engine-1", TokenInterval: time.Millisecond})
			b.admitter.targets[0].Resumes = false
			b.silenceFor(fault.Kind)
			engine.Inject(fault)

			text, err := read(b.post("Reviews/Draft", dossier, HeaderTimeout, "600ms"))
			require.Error(t, err, "the connection closes without the last chunk")
			stream := parseStream(t, text)
			require.Empty(t, stream.end)
			require.Contains(t, stream.failed, `"Ran":"Unknown"`)
			if fault.AfterEvents > 0 {
				require.Equal(t, wantTokens(dossier, 4), stream.tokens)
			}
			eventually(t, func() bool { return len(b.admitter.outcomes()) == 1 }, "the permit is released")
			require.Equal(t, admission.OutcomeFailed, b.admitter.outcomes()[0])
			eventually(t, func() bool { return engine.InFlight() == 0 }, "the engine is free")
		})
	}
}

func TestABrokenPlainAnswerIsAskedAgain(t *testing.T) {
	for _, kind := range []standin.FaultKind{
		standin.FaultConnectionClosed, standin.FaultMissingEnd, standin.FaultRequestMismatch, standin.FaultNoResponse,
		standin.FaultEndless, standin.FaultError,
	} {
		t.Run(string(kind), func(t *testing.T) {
			b := newFixture(t, WithAnswerBytes(1<<20))
			first := b.plain("treasury-1")
			second := b.plain("treasury-2")
			b.retries("Treasury", 1)
			b.silenceFor(kind)
			first.Inject(standin.Fault{Kind: kind, Count: 1})

			status, text := b.get("Treasury/Balance", `{}`, HeaderKey, "ask")
			require.Equal(t, 200, status)
			require.JSONEq(t, `{"Service":"Treasury","Call":"Balance","Key":"ask","Run":1}`, text)
			require.Equal(t, 1, second.RunsByKey("ask"))
		})
	}
}

func TestADuplicatedPlainAnswerDoesNotReachAnotherRequest(t *testing.T) {
	b := newFixture(t)
	plain := b.plain("treasury-1")
	plain.Inject(standin.Fault{Kind: standin.FaultDuplicate})
	for _, key := range []string{"a", "b", "c", "d"} {
		status, text := b.get("Treasury/Balance", `{}`, HeaderKey, key)
		require.Equal(t, 200, status)
		require.Contains(t, text, `"Key":"`+key+`"`)
	}
}

func TestALateAnswerDoesNotReachAnotherRequest(t *testing.T) {
	b := newFixture(t)
	plain := b.plain("treasury-1")
	b.silence(shortSilence)
	plain.Inject(standin.Fault{Kind: standin.FaultDelayed, Count: 1, Delay: 2 * shortSilence})

	status, text := b.get("Treasury/Balance", `{}`, HeaderKey, "late")
	require.Equal(t, 502, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	for answered := false; !answered; {
		answered = plain.InFlight() == 0
		status, text = b.get("Treasury/Balance", `{}`, HeaderKey, "next")
		require.Equal(t, 200, status)
		require.Contains(t, text, `"Key":"next"`)
	}
}

func TestAReleaseTellsTheFirstByteTime(t *testing.T) {
	b := newFixture(t)
	first := b.engine(standin.EngineSettings{Name: "engine-1"})
	b.engine(standin.EngineSettings{Name: "engine-2", FirstByte: 20 * time.Millisecond})
	b.retries("Reviews", 1)
	b.silence(shortSilence)
	first.Inject(standin.Fault{Kind: standin.FaultNoResponse, Count: 1})
	b.get("Reviews/Draft", dossier)
	eventually(t, func() bool { return len(b.admitter.outcomes()) == 2 }, "both permits are released")
	b.admitter.mu.Lock()
	defer b.admitter.mu.Unlock()
	for _, release := range b.admitter.released {
		if release.Target == "engine-1" {
			require.Equal(t, admission.OutcomeFailed, release.Outcome)
			require.Zero(t, release.FirstByte)
			continue
		}
		require.Equal(t, admission.OutcomeDone, release.Outcome)
		require.GreaterOrEqual(t, release.FirstByte, 20*time.Millisecond)
	}
}

func TestAPermitIsReleasedOnceWhenAResumeFails(t *testing.T) {
	b := newFixture(t)
	first := b.engine(standin.EngineSettings{Name: "engine-1"})
	second := b.engine(standin.EngineSettings{Name: "engine-2"})
	first.Inject(standin.Fault{Kind: standin.FaultRequestMismatch, AfterEvents: 4})
	second.Inject(standin.Fault{Kind: standin.FaultError})
	text, err := read(b.post("Reviews/Draft", dossier))
	require.Error(t, err)
	require.Equal(t, wantTokens(dossier, 4), parseStream(t, text).tokens)
	eventually(t, func() bool { return len(b.admitter.outcomes()) == 2 && b.gateway.InFlight() == 0 }, "both permits are released")
	require.NoError(t, b.gateway.Drain(t.Context()))
	require.Len(t, b.admitter.outcomes(), b.admitter.grants())
}

// Whatever the targets do, a caller gets its whole answer or sees that it did
// not.
func TestAnAnswerIsWholeOrFailsVisibly(t *testing.T) {
	b := newFixture(t)
	b.silence(30 * time.Millisecond)
	engines := []*standin.Engine{
		b.engine(standin.EngineSettings{Name: "engine-1"}),
		b.engine(standin.EngineSettings{Name: "engine-2"}),
	}
	kinds := []standin.FaultKind{
		standin.FaultConnectionClosed, standin.FaultMissingEnd, standin.FaultDuplicate, standin.FaultRequestMismatch,
		standin.FaultError, standin.FaultStalled, standin.FaultNoResponse,
	}
	whole := 0
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
		b.retries("Reviews", rapid.IntRange(0, 2).Draw(t, "retries"))
		response := b.post("Reviews/Draft", dossier, HeaderChat, "c-1")
		text, err := read(response)
		if response.StatusCode != 200 {
			require.Contains(t, text, `"Ran":"`)
			return
		}
		stream := parseStream(b.t, text)
		if stream.end == "" {
			require.Error(t, err)
			require.NotEmpty(t, stream.failed)
			require.Equal(t, wantTokens(dossier, 12)[:len(stream.tokens)], stream.tokens)
			return
		}
		require.NoError(t, err)
		require.Equal(t, wantTokens(dossier, 12), stream.tokens)
		whole++
	})
	require.Positive(t, whole)
}
