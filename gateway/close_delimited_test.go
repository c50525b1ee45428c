package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// A response that ends with its connection can't be told from a truncated one in the
// gateway's own protocol. Whichever way the connection ends, the caller must not get it
// as a whole response, a call that runs at most once must run once, and no response may
// say that it did not run. Others are served meanwhile.
func TestCloseDelimitedResponse_IsRefused(t *testing.T) {
	for _, path := range []string{"Treasury/Pay", "Treasury/Balance", "Reviews/Draft", "Reviews/File", "Reviews/Status"} {
		for _, fault := range []standin.Fault{
			{Ending: standin.EndingClose},
			{Ending: standin.EndingHalfClose},
			{Ending: standin.EndingReset},
			{Ending: standin.EndingClose, AfterEvents: 4},
			{Ending: standin.EndingClose, Delay: time.Millisecond},
		} {
			t.Run(fmt.Sprint(path, " ", fault.Ending, " ", fault.AfterEvents, " ", fault.Delay), func(t *testing.T) {
				f := newFixture(t, WithRetries(1, 0))
				engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
				plain := f.addPlain("treasury-1")
				inject := engine.Inject
				runs := func() int { return engine.Stats().Requests }
				if strings.HasPrefix(path, "Treasury/") {
					f.admitter.permits = f.admitter.permits[1:]
					inject, runs = plain.Inject, plain.TotalRuns
				}
				status, _ := f.postAndRead(path, `{}`)
				require.Equal(t, 200, status)
				fault.Kind, fault.Count = standin.FaultCloseDelimited, 1
				inject(fault)
				response := f.post(path, `{}`)
				text, err := readBody(response)
				require.NoError(t, err)
				require.Equal(t, "Unknown", executionResult(response.StatusCode, text))
				require.Equal(t, 2, runs())
				status, _ = f.postAndRead(path, `{}`)
				require.Equal(t, 200, status)
				eventually(t, func() bool { return len(f.admitter.outcomes()) == 3 }, "every permit is released")
				require.ElementsMatch(t, []admission.Outcome{admission.OutcomeDone, admission.OutcomeFailed, admission.OutcomeDone}, f.admitter.outcomes())
			})
		}
	}
}
