package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// neverElapses is a duration longer than any test.
const neverElapses = time.Hour

func TestCallerDisconnect_CancelsRequestOnEngine(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		settings standin.EngineSettings
	}{
		{"between two tokens", "Reviews/Draft", standin.EngineSettings{TokenInterval: neverElapses}},
		{"before the first token", "Reviews/Draft", standin.EngineSettings{FirstByte: neverElapses}},
		{"while a plain response is prepared", "Reviews/Status", standin.EngineSettings{FirstByte: neverElapses}},
		{"while tokens are sent", "Reviews/Draft", standin.EngineSettings{TokenInterval: time.Millisecond, DefaultTokens: 1 << 20}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.setTargetTimeout(neverElapses)
			test.settings.Name = "engine-1"
			engine := f.addEngine(test.settings)

			ctx, disconnect := context.WithCancel(context.Background())
			defer disconnect()
			go func() {
				response, err := f.tryPost(ctx, test.path, "prompt")
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
				}
			}()
			eventually(t, func() bool { return engine.InFlight() == 1 }, "the engine processes the request")
			disconnect()
			eventually(t, func() bool { return engine.InFlight() == 0 }, "the engine has no request in flight")
			eventually(t, func() bool { return len(f.admitter.outcomes()) == 1 }, "the permit is released")
			require.Equal(t, []admission.Outcome{admission.OutcomeCancelled}, f.admitter.outcomes())
			eventually(t, func() bool { return f.gateway.InFlight() == 0 }, "the request has ended")
		})
	}
}

func TestCallerDisconnect_CancelsQueuedRequest(t *testing.T) {
	f := newFixture(t)
	f.admitter.blockAcquire = true
	ctx, disconnect := context.WithCancel(context.Background())
	go func() { _, _ = f.tryPost(ctx, "Reviews/Draft", "prompt") }()
	eventually(t, func() bool { return f.gateway.InFlight() == 1 }, "the request is in flight")
	disconnect()
	eventually(t, func() bool { return f.gateway.InFlight() == 0 }, "the request has ended")
}

// Completed, failed and cancelled requests must not leak goroutines.
func TestRequests_LeakNoGoroutinesOrPermits(t *testing.T) {
	f := newFixture(t)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: time.Millisecond})
	for i := range 60 {
		switch i % 3 {
		case 0:
			engine.Inject(standin.Fault{Kind: standin.FaultConnectionClosed, AfterEvents: 4, Count: 1})
		case 1:
			engine.Inject(standin.Fault{Kind: standin.FaultError, Count: 1})
		}
		ctx, disconnect := context.WithCancel(context.Background())
		response, err := f.tryPost(ctx, "Reviews/Draft", dossier)
		require.NoError(t, err)
		if i%2 == 0 {
			disconnect()
		}
		_, _ = readBody(response)
		disconnect()
	}
	eventually(t, func() bool { return f.gateway.InFlight() == 0 && engine.InFlight() == 0 }, "all requests have ended")
	eventually(t, func() bool {
		stacks := make([]byte, 1<<20)
		stacks = stacks[:runtime.Stack(stacks, true)]
		return !bytes.Contains(stacks, []byte("readOne")) && !bytes.Contains(stacks, []byte("(*requestTracker).runBackground"))
	}, "no watch and no background task is left")
	eventually(t, func() bool { return len(f.admitter.outcomes()) == f.admitter.grants() }, "every permit is released")
}

// The watch for a disconnect may read the first byte of a pipelined request,
// which must not be lost.
func TestPipelinedRequest_IsServed(t *testing.T) {
	f := newFixture(t)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1", FirstByte: 50 * time.Millisecond})
	connection, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer connection.Close()
	send := func(id string) {
		_, err := fmt.Fprintf(connection, "POST /v1/services/Reviews/Status HTTP/1.1\r\nHost: h\r\n"+
			"Comfreytiller-Workspace: Students\r\nComfreytiller-Request: %s\r\nContent-Length: 2\r\n\r\n{}", id)
		require.NoError(t, err)
	}
	send("one")
	eventually(t, func() bool { return engine.InFlight() == 1 }, "the engine processes the request")
	send("two")
	reader := bufio.NewReader(connection)
	for _, id := range []string{"one", "two"} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, 200, response.StatusCode)
		require.Equal(t, id, response.Header.Get(HeaderRequest))
		_, err = readBody(response)
		require.NoError(t, err)
	}
}
