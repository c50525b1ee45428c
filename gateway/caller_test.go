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

// long is a time that no test waits for.
const long = time.Hour

func TestACallerThatGoesAwayFreesTheEngine(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		settings standin.EngineSettings
	}{
		{"between two tokens", "Reviews/Draft", standin.EngineSettings{TokenInterval: long}},
		{"before the first token", "Reviews/Draft", standin.EngineSettings{FirstByte: long}},
		{"while a plain answer is made", "Reviews/Status", standin.EngineSettings{FirstByte: long}},
		{"while tokens flow", "Reviews/Draft", standin.EngineSettings{TokenInterval: time.Millisecond, DefaultTokens: 1 << 20}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(t)
			b.silence(long)
			test.settings.Name = "engine-1"
			engine := b.engine(test.settings)

			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			go func() {
				response, err := b.tryPost(ctx, test.path, "prompt")
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
				}
			}()
			eventually(t, func() bool { return engine.InFlight() == 1 }, "the engine is at work")
			leave()
			eventually(t, func() bool { return engine.InFlight() == 0 }, "the engine is free")
			eventually(t, func() bool { return len(b.admitter.outcomes()) == 1 }, "the permit is released")
			require.Equal(t, []admission.Outcome{admission.OutcomeCancelled}, b.admitter.outcomes())
			eventually(t, func() bool { return b.gateway.InFlight() == 0 }, "the request is over")
		})
	}
}

func TestACallerThatGoesAwayLeavesTheQueue(t *testing.T) {
	b := newFixture(t)
	b.admitter.wait = true
	ctx, leave := context.WithCancel(context.Background())
	go func() { _, _ = b.tryPost(ctx, "Reviews/Draft", "prompt") }()
	eventually(t, func() bool { return b.gateway.InFlight() == 1 }, "the request waits")
	leave()
	eventually(t, func() bool { return b.gateway.InFlight() == 0 }, "the request is over")
}

// Requests that end well, badly or early leave no goroutine behind.
func TestNothingIsLeftBehind(t *testing.T) {
	b := newFixture(t)
	engine := b.engine(standin.EngineSettings{Name: "engine-1", TokenInterval: time.Millisecond})
	for i := range 60 {
		switch i % 3 {
		case 0:
			engine.Inject(standin.Fault{Kind: standin.FaultConnectionClosed, AfterEvents: 4, Count: 1})
		case 1:
			engine.Inject(standin.Fault{Kind: standin.FaultError, Count: 1})
		}
		ctx, leave := context.WithCancel(context.Background())
		response, err := b.tryPost(ctx, "Reviews/Draft", dossier)
		require.NoError(t, err)
		if i%2 == 0 {
			leave()
		}
		_, _ = read(response)
		leave()
	}
	eventually(t, func() bool { return b.gateway.InFlight() == 0 && engine.InFlight() == 0 }, "all is over")
	eventually(t, func() bool {
		stacks := make([]byte, 1<<20)
		stacks = stacks[:runtime.Stack(stacks, true)]
		return !bytes.Contains(stacks, []byte("readOne")) && !bytes.Contains(stacks, []byte("(*work).run"))
	}, "no watch and no task is left")
	eventually(t, func() bool { return len(b.admitter.outcomes()) == b.admitter.grants() }, "every permit is released")
}

// The watch may read the first byte of the next request; it must not be lost.
func TestARequestSentAheadIsServedToo(t *testing.T) {
	b := newFixture(t)
	engine := b.engine(standin.EngineSettings{Name: "engine-1", FirstByte: 50 * time.Millisecond})
	connection, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	defer connection.Close()
	send := func(id string) {
		_, err := fmt.Fprintf(connection, "POST /v1/services/Reviews/Status HTTP/1.1\r\nHost: h\r\n"+
			"Comfreytiller-Workspace: Students\r\nComfreytiller-Request: %s\r\nContent-Length: 2\r\n\r\n{}", id)
		require.NoError(t, err)
	}
	send("one")
	eventually(t, func() bool { return engine.InFlight() == 1 }, "the engine is at work")
	send("two")
	reader := bufio.NewReader(connection)
	for _, id := range []string{"one", "two"} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, 200, response.StatusCode)
		require.Equal(t, id, response.Header.Get(HeaderRequest))
		_, err = read(response)
		require.NoError(t, err)
	}
}
