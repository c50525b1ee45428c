package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
	"comfreytiller.dev/target"
)

// responseRecorder records the headers that a gateway reports, by target.
type responseRecorder struct {
	mu       sync.Mutex
	byTarget map[string][]target.ResponseHeader
}

func recordResponses(f *fixture) *responseRecorder {
	r := &responseRecorder{byTarget: map[string][]target.ResponseHeader{}}
	f.gateway.OnTargetResponse = func(permit admission.Permit, header target.ResponseHeader) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.byTarget[permit.Target] = append(r.byTarget[permit.Target], header)
	}
	return r
}

func (r *responseRecorder) headers(name string) []target.ResponseHeader {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byTarget[name]
}

// A target says that it is leaving at the start of a stream that may last for minutes.
// If the notice were only taken from the finished response, the host would send new
// requests there meanwhile.
func TestOnTargetResponse_LeavingIsReportedBeforeTheStreamEnds(t *testing.T) {
	f := newFixture(t)
	responses := recordResponses(f)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1", DefaultTokens: 3})
	engine.SetLeaving()
	engine.Inject(standin.Fault{Kind: standin.FaultStalled, AfterEvents: 1, Count: 1})
	response := f.post("Reviews/Draft", `{}`)
	eventually(t, func() bool { return len(responses.headers("engine-1")) == 1 }, "the header is reported")
	require.True(t, responses.headers("engine-1")[0].Leaving)
	engine.CrashAndRestart(true)
	text, err := readBody(response)
	require.NoError(t, err)
	require.NotEmpty(t, parseStream(t, text).endData, "the response of a leaving target is delivered")
}

// A refusal with a pause is reported, and the request, which did not run, goes to
// another target.
func TestOnTargetResponse_PauseIsReportedAndRequestRunsElsewhere(t *testing.T) {
	f := newFixture(t)
	responses := recordResponses(f)
	first, second := f.addPlain("treasury-1"), f.addPlain("treasury-2")
	first.Inject(standin.Fault{Kind: standin.FaultRefused, Delay: 2500 * time.Millisecond})
	f.setRetryTokens("Treasury", 5)
	status, _ := f.postAndRead("Treasury/Pay", `{}`)
	require.Equal(t, 200, status)
	require.Zero(t, first.TotalRuns())
	require.Equal(t, 1, second.TotalRuns())
	require.Len(t, responses.headers("treasury-1"), 1)
	require.Equal(t, 2500*time.Millisecond, responses.headers("treasury-1")[0].RetryAfter)
	require.Zero(t, responses.headers("treasury-2")[0].RetryAfter)
}
