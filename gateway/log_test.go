package gateway

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/standin"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/web"
	"github.com/stretchr/testify/require"
)

// lockedBuffer is a log output that can be read while it is written.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.buffer.String()), "\n")
}

func TestLog_OneLinePerRoutingDecision(t *testing.T) {
	f := newFixture(t)
	var out lockedBuffer
	logger, err := logs.New(&out, "info", "text")
	require.NoError(t, err)
	f.gateway.log = logs.ForComponent(logger, "Route")
	first := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.addEngine(standin.EngineSettings{Name: "engine-2"})
	f.setRetryTokens("Reviews", 1)
	first.Inject(standin.Fault{Kind: standin.FaultError, Count: 1})

	f.postAndRead("Reviews/Draft", draftBody, HeaderChat, "c-17")
	lines := out.lines()
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], "failed on engine-1.")
	require.Contains(t, lines[1], `msg="Route: Request `)
	for _, part := range []string{"ran on engine-2.", "Attempt=2", "Reason=Test", "Warm=false", "Workspace=Students", "FirstByte="} {
		require.Contains(t, lines[1], part)
	}
}

// Guards against a failed attempt whose log line does not relate it to other failures by
// what their prompts have in common, and against lines that grow with the prompt.
func TestLog_FailedAttemptNamesSharedPromptParts(t *testing.T) {
	require.Empty(t, sharedPromptParts(nil))
	prompt := &admission.Prompt{Parts: []admission.PromptPart{{Key: 0x5c1e07a2}}}
	require.Empty(t, sharedPromptParts(prompt), "the last part belongs to the request")
	prompt.Parts = append(prompt.Parts, admission.PromptPart{Key: 0x91bd3f06}, admission.PromptPart{Key: 0xe4402b7d})
	require.Equal(t, "5c1e07a2,91bd3f06", sharedPromptParts(prompt))
	for range 100 {
		prompt.Parts = append(prompt.Parts, admission.PromptPart{Key: math.MaxUint64})
	}
	require.Equal(t, maxLoggedPromptParts, strings.Count(sharedPromptParts(prompt), ",")+1)
	require.LessOrEqual(t, len(sharedPromptParts(prompt)), maxLoggedPromptParts*len("ffffffffffffffff,"))

	f := newFixture(t)
	var out lockedBuffer
	logger, err := logs.New(&out, "info", "text")
	require.NoError(t, err)
	f.gateway.log = logs.ForComponent(logger, "Route")
	d := &dispatcher{gateway: f.gateway, Request: &Request{Prompt: &admission.Prompt{
		Parts: []admission.PromptPart{{Key: 0x5c1e07a2}, {Key: 0x91bd3f06}, {Key: 0xe4402b7d}},
	}}}
	f.gateway.logFailedAttempt(d, &attempt{}, target.ErrTruncated)
	f.gateway.logCompleted(d, &attempt{}, false)
	lines := out.lines()
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], `SharedParts="5c1e07a2,91bd3f06"`)
	require.NotContains(t, lines[1], "SharedParts", "complete responses need no relation")
}

func TestLog_FailedRequest(t *testing.T) {
	f := newFixture(t)
	var out lockedBuffer
	logger, err := logs.New(&out, "info", "text")
	require.NoError(t, err)
	f.gateway.log = logs.ForComponent(logger, "Route")
	f.postAndRead("Reviews/Draft", draftBody, HeaderChat, "c-17")
	require.Len(t, out.lines(), 1)
	require.Contains(t, out.lines()[0], "is given up")
	require.Contains(t, out.lines()[0], "Code=NoTarget")
}

func TestMetrics_OutcomesAndWarmChats(t *testing.T) {
	f := newFixture(t)
	f.addEngine(standin.EngineSettings{Name: "engine-1"})
	for range 3 {
		f.postAndRead("Reviews/Draft", draftBody, HeaderChat, "c-17")
	}
	f.postAndRead("Reviews/Else", draftBody)
	counters := map[string]int64{}
	for key, counter := range f.scope.Snapshot().Counters() {
		counters[key] = counter.Value()
	}
	require.Equal(t, int64(3), counters["requests+outcome=Answered"])
	require.Equal(t, int64(1), counters["requests+outcome=NotFound"])
	require.Equal(t, int64(2), counters["chats+context=Warm"])
	require.Equal(t, int64(1), counters["chats+context=Cold"])
	require.Equal(t, int64(3), counters["attempts+"])
	require.Len(t, f.scope.Snapshot().Histograms(), 1)
}

// A caller's stream or request ended without a response and no line told why it had not
// gone on at another target.
func TestLog_ReasonWhyRequestDoesNotGoOn(t *testing.T) {
	cut := standin.Fault{Kind: standin.FaultConnectionClosed, AfterEvents: 2, Count: 1}
	cases := []struct {
		name, path, reason, line string
		fault                    standin.Fault
		options                  []Option
		tokens                   int
	}{
		{"stream without budget", "Reviews/Draft", "RetryBudget", "is not resumed after its failure on engine-1.", cut, []Option{WithStrictRetryBudget()}, 0},
		{"stream without resumes", "Reviews/Draft", "Attempts", "is not resumed after its failure on engine-1.", cut, []Option{func(s *settings) { s.maxResumes = 0 }}, 5},
		{"request without attempts", "Reviews/Status", "Attempts", "is not sent again after its failure on engine-1.", standin.Fault{Kind: standin.FaultError, Count: 1}, []Option{WithRetries(1, 0)}, 5},
		{"request without budget", "Reviews/Status", "RetryBudget", "is not sent again after its failure on engine-1.", standin.Fault{Kind: standin.FaultError, Count: 1}, nil, 0},
		{"call that runs once", "Reviews/File", "NotRetryable", "is not resumed after its failure on engine-1.", cut, nil, 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.options...)
			var out lockedBuffer
			logger, err := logs.New(&out, "info", "text")
			require.NoError(t, err)
			f.gateway.log = logs.ForComponent(logger, "Route")
			f.addEngine(standin.EngineSettings{Name: "engine-1"}).Inject(test.fault)
			f.setRetryTokens("Reviews", test.tokens)
			_, _ = readBody(f.post(test.path, draftBody))
			text := strings.Join(out.lines(), "\n")
			require.Contains(t, text, test.line)
			require.Contains(t, text, "Reason="+test.reason)
			require.Contains(t, text, "Silence=")
			require.Equal(t, int64(1), f.scope.Snapshot().Counters()["not_retried+reason="+test.reason].Value())
		})
	}
}

func TestMetrics_AttemptsGivenUpForSilence(t *testing.T) {
	f := newFixture(t)
	f.setTargetTimeout(shortTargetTimeout)
	f.addPlain("treasury-1").Inject(standin.Fault{Kind: standin.FaultNoResponse, Count: 1})
	f.postAndRead("Treasury/Balance", `{}`)
	require.Equal(t, int64(1), f.counterValue("silent_attempts"))
}

// The lines of a stream in the gateway's own protocol had no events before its end mark, and those
// of other attempts behind it.
func TestLog_StreamLinesCountEventsOfTheirAttempt(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nComfreytiller-Request: {id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(data []byte) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	f := newFixture(t)
	f.setRetryTokens("Reviews", 10)
	var out lockedBuffer
	logger, err := logs.New(&out, "info", "text")
	require.NoError(t, err)
	f.gateway.log = logs.ForComponent(logger, "Route")
	f.addRawTarget("engine-1", func(request *http.Request) rawResponse {
		id := request.Header.Get(web.HeaderRequestID)
		event := func(i int) string {
			return chunk(web.AppendEvent(nil, web.EventID(id, i), "token", []byte(strconv.Itoa(i))))
		}
		if request.Header.Get(web.HeaderOffset) == "" {
			return rawResponse{text: header + event(0) + event(1), reset: true}
		}
		end := web.AppendEvent(nil, web.EventID(id, 3), web.EndEventName, fmt.Appendf(nil, `{"Request":%q,"Events":3}`, id))
		return rawResponse{text: header + event(2) + chunk(end) + "0\r\n\r\n"}
	})
	f.postAndRead("Reviews/Draft", draftBody)
	lines := out.lines()
	require.Len(t, lines, 2)
	for i, parts := range [][]string{
		{"failed on engine-1.", "AttemptEvents=2", "End=Reset", "Events=2", "Framing=Chunked"},
		{"ran on engine-1.", "AttemptEvents=1", "End=LastChunk", "Events=3", "Framing=Chunked"},
	} {
		for _, part := range parts {
			require.Contains(t, lines[i], part)
		}
	}
}
