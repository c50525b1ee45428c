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

// patience bounds the wait for a condition; no test waits that long when it
// passes.
const patience = 10 * time.Second

// fixture is a gateway between a caller and stand-in targets.
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

// exampleFleet has an engine service and a plain service.
func exampleFleet() *fleet.Fleet {
	timeouts := fleet.Timeouts{FirstByte: patience, Gap: patience, Total: 2 * patience}
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
	return newFixtureOf(t, exampleFleet(), options...)
}

// newFixtureOf is newFixture with a fleet of the test's own.
func newFixtureOf(t testing.TB, known *fleet.Fleet, options ...Option) *fixture {
	b := &fixture{
		t: t, admitter: &fakeAdmitter{}, catalog: &fakeCatalog{fleet: known},
		authority: &fakeAuthority{}, claims: &fakeClaims{claims: map[ClaimKey]Claim{}},
		scope: tally.NewTestScope("", nil), served: make(chan error, 1),
	}
	clock := clockwork.NewRealClock()
	client := web.NewClient(clock)
	t.Cleanup(client.Close)
	options = append([]Option{WithLinger(0), WithBackoff(time.Millisecond), WithCancelTimeout(200 * time.Millisecond)}, options...)
	b.gateway = New(Dependencies{
		Admitter: b.admitter, Catalog: b.catalog, Authority: b.authority, Claims: b.claims,
		Sender: client, Clock: clock, Scope: b.scope, Host: "rabat-a-1",
	}, options...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.address = listener.Addr().String()
	go func() { b.served <- b.gateway.Serve(listener) }()
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	b.client = &http.Client{Transport: transport}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = listener.Close()
	})
	return b
}

// silence sets how long a target may be silent; tests whose targets are silent
// shorten it.
func (b *fixture) silence(budget time.Duration) {
	for i := range b.catalog.fleet.Services {
		b.catalog.fleet.Services[i].Timeouts.FirstByte = budget
		b.catalog.fleet.Services[i].Timeouts.Gap = budget
	}
}

// shortSilence ends a wait for a silent target. It is long enough that a busy
// machine is not taken for one.
const shortSilence = 500 * time.Millisecond

// silenceFor shortens the budget if the fault is a silence.
func (b *fixture) silenceFor(kind standin.FaultKind) {
	switch kind {
	case standin.FaultNoResponse, standin.FaultDelayed, standin.FaultStalled:
		b.silence(shortSilence)
	}
}

// engine adds a stand-in engine that may get permits.
func (b *fixture) engine(settings standin.EngineSettings) *standin.Engine {
	engine, err := standin.NewEngine(clockwork.NewRealClock(), settings)
	require.NoError(b.t, err)
	b.t.Cleanup(engine.Close)
	b.permit(settings.Name, engine.Address())
	return engine
}

// plain adds a stand-in plain service that may get permits.
func (b *fixture) plain(name string) *standin.PlainService {
	plain, err := standin.NewPlainService(clockwork.NewRealClock(), standin.PlainServiceSettings{Name: name, Service: "Treasury"})
	require.NoError(b.t, err)
	b.t.Cleanup(plain.Close)
	b.permit(name, plain.Address())
	return plain
}

func (b *fixture) permit(name, address string) {
	b.admitter.mu.Lock()
	defer b.admitter.mu.Unlock()
	b.admitter.targets = append(b.admitter.targets, admission.Permit{
		Target: name, Address: address, Incarnation: 1, Fence: 7, Resumes: true, Reason: "Test",
	})
}

// post makes a call and returns the response with its body not yet read.
func (b *fixture) post(path, body string, header ...string) *http.Response {
	response, err := b.tryPost(context.Background(), path, body, header...)
	require.NoError(b.t, err)
	return response
}

func (b *fixture) tryPost(ctx context.Context, path, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.address+PathServices+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderWorkspace, "Students")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return b.client.Do(request)
}

// read returns the body; its error is nil only when HTTP found it whole.
func read(response *http.Response) (string, error) {
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// get makes a call and returns status and body, which must be whole for HTTP.
func (b *fixture) get(path, body string, header ...string) (int, string) {
	response := b.post(path, body, header...)
	text, err := read(response)
	require.NoError(b.t, err)
	return response.StatusCode, text
}

// parsed is a stream as a caller gets it.
type parsed struct {
	tokens []string
	end    string
	failed string
}

// parseStream reads the events of a stream.
func parseStream(t testing.TB, text string) parsed {
	reader := web.NewEventReader(bufio.NewReader(strings.NewReader(text)))
	var p parsed
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
			p.failed = string(event.Data)
		default:
			p.tokens = append(p.tokens, string(event.Data))
		}
	}
}

// wantTokens are the tokens of the whole answer to body.
func wantTokens(body string, n int) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = `{"Text":"` + standin.Token([]byte(body), i) + `"}`
	}
	return tokens
}

// eventually waits for a condition without a fixed pause.
func eventually(t testing.TB, condition func() bool, what string) {
	require.Eventually(t, condition, patience, time.Millisecond, what)
}

// ranOf returns "Done" for an answer, and what a failure says of having run.
func ranOf(status int, text string) string {
	if status == http.StatusOK {
		return "Done"
	}
	var body FailureBody
	if err := json.Unmarshal([]byte(text), &body); err != nil {
		return text
	}
	return body.Ran
}
