package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/standin"
)

// takeUpCodec reads what a caller has received of a stream from the headers of the tests.
type takeUpCodec struct{ Codec }

// ParseRequest implements Codec.
func (c takeUpCodec) ParseRequest(ctx *fasthttp.RequestCtx, r *Request) *Failure {
	f := c.Codec.ParseRequest(ctx, r)
	r.CallerID = string(ctx.Request.Header.Peek("Test-Id"))
	r.LastEventID, r.ResumedID = string(ctx.Request.Header.Peek("Test-Last")), string(ctx.Request.Header.Peek("Test-Resumed"))
	return f
}

// fakeOrigins keeps the versions of streams in memory.
type fakeOrigins struct {
	mu       sync.Mutex
	versions map[string]string
}

func (o *fakeOrigins) RecordOrigin(service, id, version string, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions[service+" "+id] = fmt.Sprint(version, " ", until.After(time.Now()))
}

func (o *fakeOrigins) FindOrigin(_ context.Context, service, id string) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id == "known" {
		return "v2", nil
	}
	return "", errors.Errorf("no version for %s of %s", id, service)
}

// versionAdmitter records the versions that permits were requested for.
type versionAdmitter struct {
	*fakeAdmitter
	versions []string
}

func (a *versionAdmitter) Acquire(ctx context.Context, r admission.Request) (admission.Permit, error) {
	a.versions = append(a.versions, fmt.Sprint(r.RequiresVersion, " ", r.Version))
	permit, err := a.fakeAdmitter.Acquire(ctx, r)
	permit.Version = "v2"
	return permit, err
}

// A stream that a caller takes up needs the version that began it. Without it, no target may
// get the request, and the caller is told that it has not run.
func TestTakeUp_NeedsVersionThatBeganTheStream(t *testing.T) {
	f := newRouteFixture(t, 0)
	admitter, origins := &versionAdmitter{fakeAdmitter: f.admitter}, &fakeOrigins{versions: map[string]string{}}
	f.gateway.Admitter, f.gateway.StreamOrigins = admitter, origins
	f.gateway.Codec = takeUpCodec{f.gateway.Codec}
	f.addEngine(standin.EngineSettings{Name: "engine-1"})
	call := func(id, last, resumed string) *http.Response {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.address+PathServices+"opinion/1", strings.NewReader(draftBody))
		require.NoError(t, err)
		request.Header.Set("Test-Id", id)
		if last != "" {
			request.Header.Set("Test-Last", last)
		}
		if resumed != "" {
			request.Header.Set("Test-Resumed", resumed)
		}
		response, err := f.client.Do(request)
		require.NoError(t, err)
		t.Cleanup(func() { _ = response.Body.Close() })
		return response
	}
	for _, resumed := range []string{"", "unknown"} {
		response := call("a", "3", resumed)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		text, _ := readBody(response)
		require.Contains(t, text, `"Ran":"No"`)
		require.Contains(t, text, string(CodeUnknownOrigin))
	}
	require.Empty(t, admitter.versions)

	_, _ = readBody(call("b", "3", "known"))
	_, _ = readBody(call("c", "", "ignored"))
	require.Equal(t, []string{"true v2", "false "}, admitter.versions[:2])
	require.Equal(t, map[string]string{"Reviews known": "v2 true", "Reviews c": "v2 true"}, origins.versions, "a stream keeps the ID of the request that began it")
}

// On a route that is divided between services, the rest of a stream comes from the service
// that began it.
func TestResolveRoute_TakenUpStreamKeepsItsService(t *testing.T) {
	route := fleet.Route{Name: "r", HostName: "h", PathPrefix: "/a/", Kind: fleet.RouteStream, Resumable: true, Attempts: 2, Public: true, Timeout: time.Second}
	for _, name := range []string{"a", "b", "c"} {
		route.Split = append(route.Split, fleet.WeightedService{Service: name, Weight: 1})
	}
	table := fleet.NewTable(&fleet.Fleet{Routes: []fleet.Route{route}, Services: []fleet.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}})
	query := RouteQuery{HostName: "h", Path: "/a/"}
	for i := range 50 {
		began := &Request{CallerID: fmt.Sprint("first-", i)}
		require.Nil(t, ResolveRoute(began, table, query))
		takenUp := &Request{CallerID: fmt.Sprint("second-", i), ResumedID: began.CallerID, LastEventID: "1"}
		require.Nil(t, ResolveRoute(takenUp, table, query))
		require.Equal(t, began.Service.Name, takenUp.Service.Name)
	}
}
