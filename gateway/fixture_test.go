package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/standin"
	"comfreytiller.dev/target/web"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// testTimeout limits the wait for a condition. Passing tests do not wait this
// long.
const testTimeout = 10 * time.Second

// fixture is a gateway between a client and fake targets.
type fixture struct {
	t         testing.TB
	gateway   *Gateway
	address   string
	admitter  *fakeAdmitter
	catalog   *fakeCatalog
	authority *fakeAuthority
	claims    *fakeClaims
	scope     tally.TestScope
	client    *http.Client
	served    chan error
}

// exampleFleet returns a configuration with a model service and a plain
// service.
func exampleFleet() *fleet.Fleet {
	timeouts := fleet.Timeouts{FirstByte: testTimeout, Gap: testTimeout, Total: 2 * testTimeout}
	return &fleet.Fleet{
		Name: "Agence",
		Services: []fleet.Service{
			{
				Name: "Reviews", Kind: "Model", Timeouts: timeouts, Limits: fleet.Limits{BodyBytes: 64 << 10},
				Calls: []fleet.Call{
					{Name: "Draft", Idempotent: true, Stream: true, Priority: 3},
					{Name: "Status", Idempotent: true},
					{Name: "File", Stream: true},
				},
			},
			{
				Name: "Treasury", Kind: "Plain", Timeouts: timeouts, Limits: fleet.Limits{BodyBytes: 1 << 10},
				Calls: []fleet.Call{{Name: "Pay"}, {Name: "Balance", Idempotent: true}},
			},
		},
		Workspaces: []fleet.Workspace{{Name: "Students"}, {Name: "Desk", Services: []string{"Treasury"}}},
	}
}

func newFixture(t testing.TB, options ...Option) *fixture {
	return newFixtureWithFleet(t, exampleFleet(), options...)
}

// newFixtureWithFleet returns a fixture with the given fleet configuration.
func newFixtureWithFleet(t testing.TB, config *fleet.Fleet, options ...Option) *fixture {
	f := &fixture{
		t: t, admitter: &fakeAdmitter{}, catalog: &fakeCatalog{fleet: config},
		authority: &fakeAuthority{}, claims: &fakeClaims{claims: map[ClaimKey]Claim{}},
		scope: tally.NewTestScope("", nil), served: make(chan error, 1),
	}
	clock := clockwork.NewRealClock()
	client := web.NewClient(clock)
	t.Cleanup(client.Close)
	options = append([]Option{WithMinDrainDuration(0), WithBackoff(time.Millisecond), WithCancelTimeout(200 * time.Millisecond)}, options...)
	f.gateway = New(Dependencies{
		Admitter: f.admitter, Catalog: f.catalog, Authority: f.authority, Claims: f.claims,
		Sender: client, Clock: clock, Scope: f.scope, Host: "rabat-a-1",
	}, options...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = listener.Addr().String()
	go func() { f.served <- f.gateway.Serve(listener) }()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	f.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = listener.Close()
	})
	return f
}

// setTargetTimeout sets the first-byte and gap timeouts of all services. Tests
// with unresponsive targets shorten them.
func (f *fixture) setTargetTimeout(budget time.Duration) {
	for i := range f.catalog.fleet.Services {
		f.catalog.fleet.Services[i].Timeouts.FirstByte = budget
		f.catalog.fleet.Services[i].Timeouts.Gap = budget
	}
}

// shortTargetTimeout is used for unresponsive targets. It is long enough that a
// target on a busy machine does not time out.
const shortTargetTimeout = 500 * time.Millisecond

// shortenTimeoutFor shortens the target timeouts if the fault makes a target
// unresponsive.
func (f *fixture) shortenTimeoutFor(kind standin.FaultKind) {
	switch kind {
	case standin.FaultNoResponse, standin.FaultDelayed, standin.FaultStalled:
		f.setTargetTimeout(shortTargetTimeout)
	}
}

// addEngine adds a fake engine to the targets.
func (f *fixture) addEngine(settings standin.EngineSettings) *standin.Engine {
	engine, err := standin.NewEngine(clockwork.NewRealClock(), settings)
	require.NoError(f.t, err)
	f.t.Cleanup(engine.Close)
	f.addTarget(settings.Name, engine.Address())
	return engine
}

// addPlain adds a fake plain service to the targets.
func (f *fixture) addPlain(name string) *standin.PlainService {
	plain, err := standin.NewPlainService(clockwork.NewRealClock(), standin.PlainServiceSettings{Name: name, Service: "Treasury"})
	require.NoError(f.t, err)
	f.t.Cleanup(plain.Close)
	f.addTarget(name, plain.Address())
	return plain
}

func (f *fixture) addTarget(name, address string) {
	f.admitter.mu.Lock()
	defer f.admitter.mu.Unlock()
	f.admitter.permits = append(f.admitter.permits, admission.Permit{
		Target: name, Address: address, Incarnation: 1, Fence: 7, Resumes: true, Reason: "Test",
	})
}

// post makes a call and returns the response with its body unread.
func (f *fixture) post(path, body string, header ...string) *http.Response {
	response, err := f.tryPost(context.Background(), path, body, header...)
	require.NoError(f.t, err)
	return response
}

func (f *fixture) tryPost(ctx context.Context, path, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+PathServices+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderWorkspace, "Students")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return f.client.Do(request)
}

// readBody returns the body. The error is nil only if the body is complete
// according to HTTP.
func readBody(response *http.Response) (string, error) {
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// postAndRead makes a call and returns the status and the complete body.
func (f *fixture) postAndRead(path, body string, header ...string) (int, string) {
	response := f.post(path, body, header...)
	text, err := readBody(response)
	require.NoError(f.t, err)
	return response.StatusCode, text
}

// parsedStream is a stream as received by a caller.
type parsedStream struct {
	tokens      []string
	end         string
	failureData string
}

// parseStream parses the events of a stream.
func parseStream(t testing.TB, text string) parsedStream {
	reader := web.NewEventReader(bufio.NewReader(strings.NewReader(text)))
	var p parsedStream
	for {
		event, err := reader.Next()
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			return p
		}
		switch string(event.Name) {
		case web.EndEventName:
			p.end = string(event.Data)
		case errorEvent:
			p.failureData = string(event.Data)
		default:
			p.tokens = append(p.tokens, string(event.Data))
		}
	}
}

// expectedTokens returns the tokens of the complete response to body.
func expectedTokens(body string, n int) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = `{"Text":"` + standin.Token([]byte(body), i) + `"}`
	}
	return tokens
}

// eventually polls a condition until it holds or testTimeout expires.
func eventually(t testing.TB, condition func() bool, what string) {
	require.Eventually(t, condition, testTimeout, time.Millisecond, what)
}

// executionResult returns "Done" for a successful response, and the Ran field
// of a failure body otherwise.
func executionResult(status int, text string) string {
	if status == http.StatusOK {
		return "Done"
	}
	var body FailureBody
	if err := json.Unmarshal([]byte(text), &body); err != nil {
		return text
	}
	return body.Ran
}
