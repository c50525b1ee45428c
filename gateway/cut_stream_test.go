package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"comfreytiller.dev/target"
	"github.com/stretchr/testify/require"
)

// scriptedStream is a stream of as many events as it has, and then of what end returns.
type scriptedStream struct {
	ctx    context.Context
	events int
	end    func(context.Context) error
}

func (s *scriptedStream) Send(ctx context.Context, call target.Call) (target.Response, error) {
	if err := call.BeforeSend(); err != nil {
		return nil, &target.SendError{Err: err}
	}
	return &scriptedStream{ctx: ctx, events: s.events, end: s.end}, nil
}

func (*scriptedStream) Cancel(context.Context, string, string, int) error { return nil }

func (*scriptedStream) Header() target.ResponseHeader {
	return target.ResponseHeader{Status: 200, ContentType: contentStream, Stream: true}
}

func (*scriptedStream) Body(int) ([]byte, error) { return nil, io.EOF }

func (s *scriptedStream) Next() (target.Event, error) {
	if s.events == 0 {
		return target.Event{}, s.end(s.ctx)
	}
	s.events--
	return target.Event{Data: []byte("piece")}, nil
}

func (*scriptedStream) EventBuffered() bool { return false }

func (*scriptedStream) End() target.StreamEnd { return target.StreamEnd{} }

func (*scriptedStream) Close() {}

// lastChunk is the end of a body in chunks, with that of the chunk before.
const lastChunk = "\r\n0\r\n\r\n"

// openStream calls a stream on a connection that ends after it.
func (f *fixture) openStream(call string, timeout time.Duration) *net.TCPConn {
	c := f.dialCaller()
	_, err := fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nComfreytiller-Workspace: Students\r\n"+
		"Idempotency-Key: key\r\nComfreytiller-Timeout: %v\r\nContent-Length: 2\r\n\r\n{}", PathServices, call, timeout)
	require.NoError(f.t, err)
	return c
}

// Callers take a stream for complete when its last chunk arrives. Only the end of the target's
// stream may be passed on in that way: not a failure, a deadline, the stop of this host
// or a fault of the reader, in whichever order they meet.
func TestCutStream_HasNoLastChunk(t *testing.T) {
	awaitCancel := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	for name, test := range map[string]struct {
		end    func(context.Context) error
		stops  bool
		isSent bool
	}{
		"end":                          {end: func(context.Context) error { return io.EOF }, isSent: true},
		"truncated":                    {end: func(context.Context) error { return target.ErrTruncated }},
		"truncated by an end":          {end: func(context.Context) error { return io.ErrUnexpectedEOF }},
		"deadline":                     {end: awaitCancel},
		"host stops":                   {end: awaitCancel, stops: true},
		"truncated while host stops":   {end: func(ctx context.Context) error { _ = awaitCancel(ctx); return target.ErrTruncated }, stops: true},
		"timeout of a silent target":   {end: func(context.Context) error { return target.ErrTimeout }},
		"invalid data of the target":   {end: func(context.Context) error { return target.ErrMalformedResponse }},
		"response of another request":  {end: func(context.Context) error { return target.ErrRequestMismatch }},
		"connection closed under read": {end: func(context.Context) error { return io.ErrClosedPipe }},
	} {
		for _, call := range []string{"Reviews/Draft", "Reviews/File"} {
			for events := range 3 {
				t.Run(fmt.Sprintf("%s, %s, %d events", name, call, events), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t, WithDrainTimeout(time.Nanosecond), WithRetries(1, 0))
					f.addTarget("engine-1", "")
					f.admitter.permits[0].SupportsResume = false
					reached := make(chan struct{}, 1)
					f.gateway.Sender = &scriptedStream{events: events, end: func(ctx context.Context) error {
						reached <- struct{}{}
						return test.end(ctx)
					}}
					timeout := testTimeout
					if name == "deadline" {
						timeout = 500 * time.Millisecond
					}
					// A call that runs at most once ends by the timeout of its service.
					f.catalog.fleet.Services[0].Timeouts.Total = timeout
					c := f.openStream(call, timeout)
					<-reached
					if test.stops {
						require.ErrorIs(t, f.gateway.Drain(t.Context()), ErrDrainTimeout)
					}
					raw, err := io.ReadAll(c)
					require.NoError(t, err)
					response := string(raw)
					require.Equal(t, test.isSent, strings.HasPrefix(response, "HTTP/1.1 200") && strings.HasSuffix(response, lastChunk), response)
					eventually(t, func() bool { return f.gateway.InFlight() == 0 }, "the request has ended")
					if !test.isSent {
						require.NotContains(t, f.claims.recordedCalls(), "Finish", "a part is stored as the whole response")
					}
				})
			}
		}
	}
}

// The HTTP server recovers from a panic while it reads a stream. What a call that runs at most once
// reads after it isn't the rest of the stream, and must not be stored as its end.
func TestPanicInStream_IsNoEnd(t *testing.T) {
	for _, call := range []string{"Reviews/Draft", "Reviews/File"} {
		t.Run(call, func(t *testing.T) {
			f := newFixture(t)
			f.addTarget("engine-1", "")
			var hasPanicked atomic.Bool
			f.gateway.Sender = &scriptedStream{events: 2, end: func(context.Context) error {
				if !hasPanicked.Swap(true) {
					panic("fault of the reader")
				}
				return io.EOF
			}}
			response, err := io.ReadAll(f.openStream(call, testTimeout))
			require.NoError(t, err)
			require.Contains(t, string(response), "piece")
			require.NotContains(t, string(response), lastChunk)
			eventually(t, func() bool { return f.gateway.InFlight() == 0 }, "the request has ended")
			require.NotContains(t, f.claims.recordedCalls(), "Finish")
			eventually(t, func() bool { return len(f.admitter.outcomes()) == f.admitter.grants() }, "every permit is released")
		})
	}
}
