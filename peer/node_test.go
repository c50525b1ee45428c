package peer

import (
	"context"
	"encoding/binary"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

var testKey = []byte("0123456789abcdef")

// listen serves node on a free loopback port and returns its address.
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

func TestNode_ConcurrentCallsReceiveMatchingResponses(t *testing.T) {
	clock := clockwork.NewRealClock()
	server := newTestNode("b", testKey, clock, func(from string, message Message, reply Reply) {
		require.Equal(t, "a", from)
		request := message.(StatusRequest)
		go reply(StatusResponse{Status: []byte(request.Service)})
	})
	address := listen(t, server)
	client := newTestNode("a", testKey, clock, nil)
	defer client.Close()

	var calls sync.WaitGroup
	for _, service := range []string{"x", "y", "z", "u", "v", "w"} {
		calls.Go(func() {
			reply, err := client.Call(context.Background(), address, StatusRequest{Service: service})
			if err != nil {
				t.Error(err)
				return
			}
			if got := string(reply.(StatusResponse).Status); got != service {
				t.Errorf("reply %q for service %q", got, service)
			}
		})
	}
	calls.Wait()
}

func TestNode_RejectsHostWithWrongKey(t *testing.T) {
	clock := clockwork.NewRealClock()
	server := newTestNode("b", testKey, clock, func(string, Message, Reply) {
		t.Error("handler received a message from an unauthenticated host")
	})
	address := listen(t, server)
	client := newTestNode("a", []byte("another key, too"), clock, nil)
	defer client.Close()
	_, err := client.Call(context.Background(), address, Ping{})
	require.ErrorIs(t, err, ErrKeyMismatch)
}

// A server that reads data and never replies simulates a connection that the
// network has dropped without notice.
func TestConn_UnresponsiveWithPendingCallIsClosed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	clientConn, serverConn := net.Pipe()
	defer func() { _ = serverConn.Close() }()
	go func() {
		buffer := make([]byte, 1024)
		for {
			if _, err := serverConn.Read(buffer); err != nil {
				return
			}
		}
	}()
	conn := newConn("b", clientConn, clock, nil, newTraffic(), nil)
	go conn.run()
	callErr := make(chan error, 1)
	go func() {
		_, err := conn.call(context.Background(), StatusRequest{})
		callErr <- err
	}()
	require.Eventually(t, func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.pending) == 1
	}, time.Minute, time.Millisecond)
	for {
		select {
		case err := <-callErr:
			require.ErrorIs(t, err, ErrClosed)
			return
		default:
			clock.Advance(probeInterval / 2)
		}
	}
}

// A host that disappears without closing its connections leaves one open on which
// messages that expect no reply are lost. The probe must detect this, since no
// pending call does.
func TestConn_UnresponsiveWithoutCallsIsClosed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := newConn("b", nil, clock, nil, newTraffic(), nil)
	require.NoError(t, conn.send(QuorumMessages{}))
	clock.Advance(probeInterval + time.Millisecond)
	require.False(t, conn.checkLiveness(clock.Now()), "the connection must be probed before it is closed")
	clock.Advance(probeTimeout + time.Millisecond)
	require.True(t, conn.checkLiveness(clock.Now()))
}

// A connection that receives frames after the messages it sent is kept.
func TestConn_ReceivingWithoutCallsIsKept(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := newConn("b", nil, clock, nil, newTraffic(), nil)
	for range 20 {
		require.NoError(t, conn.send(QuorumMessages{}))
		clock.Advance(probeInterval + time.Millisecond)
		require.False(t, conn.checkLiveness(clock.Now()))
		conn.recordReceived()
	}
	clock.Advance(probeInterval + probeTimeout)
	require.False(t, conn.checkLiveness(clock.Now()), "nothing was sent since the last received frame")
}

func TestConn_RespondingIsKept(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := newConn("b", nil, clock, nil, newTraffic(), nil)
	replies := make(chan Message, 1)
	_, err := conn.registerCall(replies)
	require.NoError(t, err)
	for range 100 {
		clock.Advance(probeInterval + time.Millisecond)
		require.False(t, conn.checkLiveness(clock.Now()), "a probe is due, the connection must not be closed")
		conn.recordReceived()
	}
	clock.Advance(probeInterval + time.Millisecond)
	require.False(t, conn.checkLiveness(clock.Now()))
	clock.Advance(probeTimeout + time.Millisecond)
	require.True(t, conn.checkLiveness(clock.Now()))
}

// A reply that needs seconds on a slow link must not cost the connection: only whole frames
// counted as received, and the reply to the probe comes after the frame that is on its way.
func TestConn_ReceivingLargeFrameIsKept(t *testing.T) {
	clock := clockwork.NewFakeClock()
	clientConn, serverConn := net.Pipe()
	defer serverConn.Close()
	conn := newConn("b", clientConn, clock, nil, newTraffic(), nil)
	replies := make(chan Message, 1)
	call, err := conn.registerCall(replies)
	require.NoError(t, err)
	go conn.readLoop()
	data, err := encodeFrame(frame{callID: call, isReply: true, message: Failure{Message: strings.Repeat("x", 100)}}, clock.Now())
	require.NoError(t, err)
	_, err = serverConn.Write(binary.AppendUvarint(nil, uint64(len(data))))
	require.NoError(t, err)
	for _, part := range data {
		clock.Advance(probeInterval/2 - time.Millisecond)
		// The write returns when the byte is read, so that the one before is recorded.
		_, err := serverConn.Write([]byte{part})
		require.NoError(t, err)
		require.False(t, conn.checkLiveness(clock.Now()), "data arrives")
	}
	require.NotNil(t, <-replies)
}

func TestConn_IdleIsClosedAfterIdleTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	conn := newConn("b", nil, clock, nil, newTraffic(), nil)
	clock.Advance(idleTimeout - time.Second)
	require.False(t, conn.checkLiveness(clock.Now()))
	clock.Advance(2 * time.Second)
	require.True(t, conn.checkLiveness(clock.Now()))
}

// A host without power drops the first SYN of a connection. The next attempt must
// start before the kernel would retransmit that SYN.
func TestNode_RetriesDialAfterTimeout(t *testing.T) {
	clock := clockwork.NewRealClock()
	echo := func(_ string, message Message, reply Reply) { reply(message) }
	address := listen(t, newTestNode("b", testKey, clock, echo))
	a := newTestNode("a", testKey, clock, echo)
	var timeouts []time.Duration
	a.dialTCP = func(address string, timeout time.Duration) (net.Conn, error) {
		timeouts = append(timeouts, timeout)
		if len(timeouts) <= 2 {
			// The dial times out.
			return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		}
		return net.DialTimeout("tcp", address, timeout)
	}
	reply, err := a.Call(t.Context(), address, VersionsRequest{})
	require.NoError(t, err)
	require.Equal(t, VersionsRequest{}, reply)
	require.Equal(t, []time.Duration{initialDialTimeout, 2 * initialDialTimeout, dialTimeout - 3*initialDialTimeout}, timeouts)
}

func TestNode_DoesNotRetryRefusedDial(t *testing.T) {
	a := newTestNode("a", testKey, clockwork.NewRealClock(), nil)
	attempts := 0
	a.dialTCP = func(string, time.Duration) (net.Conn, error) {
		attempts++
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	_, err := a.Call(t.Context(), "127.0.0.1:1", VersionsRequest{})
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Equal(t, 1, attempts)
}
