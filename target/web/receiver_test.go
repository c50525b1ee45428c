package web

import (
	"context"
	"testing"

	"comfreytiller.dev/target"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// fakeSink records which targets have announced themselves and which have left.
type fakeSink struct {
	known map[string]bool
	left  []string
}

func (s *fakeSink) HandleAnnouncement(_ context.Context, a target.Announcement) error {
	s.known[a.Name] = true
	return nil
}

func (s *fakeSink) HandleLoadReport(_ context.Context, r target.LoadReport) (bool, error) {
	return s.known[r.Name], nil
}

func (s *fakeSink) HandleCacheEvent(_ context.Context, e target.CacheEvent) (bool, error) {
	return s.known[e.Name], nil
}

func (s *fakeSink) HandleLeave(_ context.Context, l target.Leave) error {
	s.left = append(s.left, l.Name)
	return nil
}

// sendToReceiver sends one HTTP request to the receiver and returns the status and
// body of the response.
func sendToReceiver(r *Receiver, method, path, key, body string) (int, string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.Header.Set(HeaderSharedKey, key)
	ctx.Request.SetBodyString(body)
	r.Handle(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

func TestReceiver_RequestsAnnouncementFromUnknownTargets(t *testing.T) {
	sink := &fakeSink{known: map[string]bool{}}
	receiver := NewReceiver(sink, WithSharedKey("secret"))
	const load = `{"Name":"engine-1","Incarnation":1,"Sequence":2}`
	const announcement = `{"Name":"engine-1","Incarnation":1,"Sequence":1,"Address":"10.0.0.1:1","Kind":"Model"}`

	status, body := sendToReceiver(receiver, "POST", PathLoad, "secret", load)
	require.Equal(t, 200, status)
	require.JSONEq(t, `{"Known":false,"Error":""}`, body)
	status, body = sendToReceiver(receiver, "POST", PathAnnounce, "secret", announcement)
	require.Equal(t, 200, status)
	require.JSONEq(t, `{"Known":true,"Error":""}`, body)
	_, body = sendToReceiver(receiver, "POST", PathLoad, "secret", load)
	require.JSONEq(t, `{"Known":true,"Error":""}`, body)
	_, body = sendToReceiver(receiver, "POST", PathCacheEvents, "secret", `{"Name":"engine-2","Incarnation":1,"Change":"Cleared"}`)
	require.JSONEq(t, `{"Known":false,"Error":""}`, body)
	status, _ = sendToReceiver(receiver, "POST", PathLeave, "secret", `{"Name":"engine-1","Incarnation":1}`)
	require.Equal(t, 200, status)
	require.Equal(t, []string{"engine-1"}, sink.left)
}

func TestReceiver_RejectsUnauthorizedAndInvalidRequests(t *testing.T) {
	sink := &fakeSink{known: map[string]bool{}}
	receiver := NewReceiver(sink, WithSharedKey("secret"))
	const announcement = `{"Name":"engine-1","Incarnation":1,"Sequence":1,"Address":"10.0.0.1:1","Kind":"Model"}`
	cases := []struct {
		method, path, key, body string
		status                  int
	}{
		{"POST", PathAnnounce, "", announcement, 403},
		{"POST", PathAnnounce, "wrong", announcement, 403},
		{"GET", PathAnnounce, "secret", announcement, 405},
		{"POST", "/v1/targets/else", "secret", announcement, 404},
		{"POST", PathAnnounce, "secret", `{"Name":"engine-1"}`, 400},
		{"POST", PathLoad, "secret", `nonsense`, 400},
	}
	for _, test := range cases {
		status, _ := sendToReceiver(receiver, test.method, test.path, test.key, test.body)
		require.Equal(t, test.status, status, "%s %s", test.method, test.path)
	}
	require.Empty(t, sink.known)
}
