package peer

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

var testKey = []byte("0123456789abcdef")

// listen serves a node on a free port and returns its address.
func listen(t *testing.T, node *Node) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var served sync.WaitGroup
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			served.Add(1)
			go func() {
				defer served.Done()
				_ = node.ServeConn(conn)
			}()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		node.Close()
	})
	return listener.Addr().String()
}

func newTestNode(host string, key []byte, clock clockwork.Clock, handler Handler) *Node {
	return NewNode(Config{Host: host, Key: key, Clock: clock}, handler)
}

func TestCallsGetTheirOwnAnswers(t *testing.T) {
	clock := clockwork.NewRealClock()
	server := newTestNode("b", testKey, clock, func(from string, message Message, reply Reply) {
		require.Equal(t, "a", from)
		ask := message.(StatusRequest)
		go reply(StatusResponse{Status: []byte(ask.Service)})
	})
	address := listen(t, server)
	client := newTestNode("a", testKey, clock, nil)
	defer client.Close()

	var calls sync.WaitGroup
	for _, service := range []string{"x", "y", "z", "u", "v", "w"} {
		calls.Go(func() {
			answer, err := client.Call(context.Background(), address, StatusRequest{Service: service})
			if err != nil {
				t.Error(err)
				return
			}
			if got := string(answer.(StatusResponse).Status); got != service {
				t.Errorf("answer %q for service %q", got, service)
			}
		})
	}
	calls.Wait()
}

func TestHostWithoutTheKeyIsRefused(t *testing.T) {
	clock := clockwork.NewRealClock()
	server := newTestNode("b", testKey, clock, func(string, Message, Reply) {
		t.Error("a message arrived without the key")
	})
	address := listen(t, server)
	client := newTestNode("a", []byte("another key, too"), clock, nil)
	defer client.Close()
	_, err := client.Call(context.Background(), address, Ping{})
	require.ErrorIs(t, err, ErrKeyMismatch)
}

// A server that takes bytes and never answers stands for a connection that the
// network has lost.
func TestSilentConnectionIsClosed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	go func() {
		sink := make([]byte, 1024)
		for {
			if _, err := far.Read(sink); err != nil {
				return
			}
		}
	}()
	conn := newConn("b", near, clock, nil)
	go conn.run()
	failed := make(chan error, 1)
	go func() {
		_, err := conn.call(context.Background(), StatusRequest{})
		failed <- err
	}()
	require.Eventually(t, func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.pending) == 1
	}, time.Minute, time.Millisecond)
	for {
		select {
		case err := <-failed:
			require.ErrorIs(t, err, ErrClosed)
			return
		default:
			clock.Advance(silentAfter / 2)
		}
	}
}

// A host that was lost without a sign keeps a connection open on which messages
// that want no answer vanish. It is found out within the time for a probe.
func TestSilentConnectionWithoutCallsIsClosed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := newConn("b", nil, clock, nil)
	require.NoError(t, conn.send(QuorumMessages{}))
	clock.Advance(silentAfter + time.Millisecond)
	require.False(t, conn.check(clock.Now()), "it is probed first")
	clock.Advance(deadAfter + time.Millisecond)
	require.True(t, conn.check(clock.Now()))
}

// A connection whose messages are followed by a sign of life is kept.
func TestConnectionWithoutCallsThatLivesIsKept(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := newConn("b", nil, clock, nil)
	for range 20 {
		require.NoError(t, conn.send(QuorumMessages{}))
		clock.Advance(silentAfter + time.Millisecond)
		require.False(t, conn.check(clock.Now()))
		conn.note()
	}
	clock.Advance(silentAfter + deadAfter)
	require.False(t, conn.check(clock.Now()), "nothing was sent since")
}

func TestConnectionThatAnswersIsKept(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := newConn("b", nil, clock, nil)
	answer := make(chan Message, 1)
	_, err := conn.expect(answer)
	require.NoError(t, err)
	for range 100 {
		clock.Advance(silentAfter + time.Millisecond)
		require.False(t, conn.check(clock.Now()), "a probe is due, not the end")
		conn.note()
	}
	clock.Advance(silentAfter + time.Millisecond)
	require.False(t, conn.check(clock.Now()))
	clock.Advance(deadAfter + time.Millisecond)
	require.True(t, conn.check(clock.Now()))
}

func TestIdleConnectionIsClosedLate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := newConn("b", nil, clock, nil)
	clock.Advance(idleAfter - time.Second)
	require.False(t, conn.check(clock.Now()))
	clock.Advance(2 * time.Second)
	require.True(t, conn.check(clock.Now()))
}

// A host without power drops the first packet of a connection. The next try does
// not wait until the kernel sends that packet again.
func TestAHostThatWasDarkIsReachedAtOnce(t *testing.T) {
	clock := clockwork.NewRealClock()
	echo := func(_ string, message Message, reply Reply) { reply(message) }
	address := listen(t, newTestNode("b", testKey, clock, echo))
	a := newTestNode("a", testKey, clock, echo)
	var tries []time.Duration
	a.tryDial = func(address string, timeout time.Duration) (net.Conn, error) {
		tries = append(tries, timeout)
		if len(tries) <= 2 {
			// Nobody answers within the time.
			return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		}
		return net.DialTimeout("tcp", address, timeout)
	}
	answer, err := a.Call(t.Context(), address, VersionsRequest{})
	require.NoError(t, err)
	require.Equal(t, VersionsRequest{}, answer)
	require.Equal(t, []time.Duration{firstDial, 2 * firstDial, dialTimeout - 3*firstDial}, tries)
}

func TestARefusedConnectionIsNotTriedAgain(t *testing.T) {
	a := newTestNode("a", testKey, clockwork.NewRealClock(), nil)
	tries := 0
	a.tryDial = func(string, time.Duration) (net.Conn, error) {
		tries++
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	_, err := a.Call(t.Context(), "127.0.0.1:1", VersionsRequest{})
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Equal(t, 1, tries)
}
