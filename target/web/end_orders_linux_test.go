package web

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"comfreytiller.dev/target"
)

// connEvent is what happens to a connection while its reader stands still.
type connEvent string

const (
	eventData     connEvent = "data"
	eventClose    connEvent = "close"
	eventReset    connEvent = "reset"
	eventTimer    connEvent = "timer"
	eventWrite    connEvent = "write"
	eventCancel   connEvent = "cancel"
	eventReported connEvent = "report taken"
)

var connEvents = []connEvent{eventData, eventClose, eventReset, eventTimer, eventWrite, eventCancel, eventReported}

// maxConnEvents is the length of the longest order of events.
const maxConnEvents = 4

// ordersTarget is the peer of a response whose reader stands still.
type ordersTarget struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	remote   *net.TCPConn
	response *Response
	cancel   context.CancelFunc
	framing  target.Framing
	// sent is the number of events that were sent, of ordersLastEvent.
	sent int
	// isClosed, isReset and isCanceled are set once it has happened, wasTaken if another than the
	// reader may have got the error of the connection.
	isClosed, isReset, isCanceled, wasTaken bool
}

// ordersLastEvent is the last event of a stream.
const ordersLastEvent = 2

// newOrdersTarget returns a target that has sent the head and the first event of a stream, which
// was read.
func newOrdersTarget(t *testing.T, framing target.Framing) *ordersTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	local, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	remote, err := listener.Accept()
	require.NoError(t, err)
	o := &ordersTarget{t: t, clock: clockwork.NewFakeClock(), remote: remote.(*net.TCPConn), framing: framing}
	whole := streamText("\n", 1, 2)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + map[target.Framing]string{
		target.FramingConnection: "", target.FramingLength: fmt.Sprintf("Content-Length: %d\r\n", len(whole)), target.FramingChunked: "Transfer-Encoding: chunked\r\n",
	}[framing] + "\r\n"
	o.write(head)
	o.sendEvent()
	client := NewClient(o.clock, WithDialect(passthroughDialect{}))
	var ctx context.Context
	ctx, o.cancel = context.WithCancel(context.Background())
	call := target.Call{Address: listener.Addr().String(), GapTimeout: time.Second, FirstByteTimeout: time.Second}
	request := fasthttp.AcquireRequest()
	passthroughDialect{}.WriteRequest(request, &call)
	o.response, err = client.roundTrip(ctx, newTargetConn(o.clock, local, call.Address), request, call, passthroughDialect{})
	require.NoError(t, err)
	event, err := o.response.Next()
	require.NoError(t, err)
	require.Equal(t, "1", event.ID)
	// The reader stands still within the read of the next event, whose timeout runs.
	o.response.conn.arm(call.GapTimeout)
	o.response.firstEventRequested = false
	return o
}

func (o *ordersTarget) write(text string) {
	_, err := o.remote.Write([]byte(text))
	require.NoError(o.t, err)
}

// sendEvent sends the next event, and behind the last one the end that the framing has.
func (o *ordersTarget) sendEvent() {
	o.sent++
	text := streamText("\n", o.sent)
	if o.framing == target.FramingChunked {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		if o.sent == ordersLastEvent {
			text += "0\r\n\r\n"
		}
	}
	o.write(text)
}

// apply lets an event happen and reports whether it is possible.
func (o *ordersTarget) apply(event connEvent) bool {
	if o.isCanceled {
		return false
	}
	switch event {
	case eventData:
		if o.isClosed || o.isReset || o.sent == ordersLastEvent {
			return false
		}
		o.sendEvent()
	case eventClose:
		if o.isClosed || o.isReset {
			return false
		}
		o.isClosed = true
		require.NoError(o.t, o.remote.CloseWrite())
		o.await(func() bool { return o.state() == tcpCloseWait })
	case eventReset:
		if o.isReset {
			return false
		}
		o.isReset = true
		require.NoError(o.t, o.remote.SetLinger(0))
		require.NoError(o.t, o.remote.Close())
		o.await(func() bool { return o.state() == tcpClose })
	case eventTimer:
		if o.response.conn.watchdog.Expired() {
			return false
		}
		o.clock.Advance(time.Second)
		o.await(o.response.conn.watchdog.Expired)
	case eventWrite:
		o.wasTaken = o.wasTaken || o.isReset
		_, o.response.writeErr = o.response.conn.Conn.Write([]byte("x"))
	case eventCancel:
		o.isCanceled = true
		o.cancel()
		o.await(func() bool { return o.state() == 0 })
	case eventReported:
		o.wasTaken = o.wasTaken || o.isReset
		o.control(func(descriptor int) { _, _ = unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_ERROR) })
	}
	return true
}

func (o *ordersTarget) await(condition func() bool) {
	require.Eventually(o.t, condition, 10*time.Second, 100*time.Microsecond)
}

// States of a TCP connection.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// state returns the state of the connection; 0 if it was closed here.
func (o *ordersTarget) state() (state uint8) {
	o.control(func(descriptor int) {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(o.t, err)
		state = info.State
	})
	return state
}

func (o *ordersTarget) control(use func(descriptor int)) {
	raw, err := o.response.conn.Conn.(syscall.Conn).SyscallConn()
	require.NoError(o.t, err)
	// It fails once the connection was closed here.
	_ = raw.Control(func(descriptor uintptr) { use(int(descriptor)) })
}

// The reader of a stream stands still while data, ends, timers, writes and cancellations come in
// every order, and another operation may take the report of a reset. The stream is complete only
// if its target has sent all of it and, where only the connection delimits it, has closed the
// connection in an orderly way. It is then lost only if something else ended it as well.
func TestEndOrders_OnlyWholeStreamsAreComplete(t *testing.T) {
	for _, framing := range []target.Framing{target.FramingConnection, target.FramingLength, target.FramingChunked} {
		t.Run(string(framing), func(t *testing.T) {
			complete := 0
			forEachOrder(nil, func(order []connEvent) bool {
				isPossible, isComplete := checkOrder(t, framing, order)
				if isComplete {
					complete++
				}
				return isPossible
			})
			require.Greater(t, complete, 20)
		})
	}
}

// forEachOrder calls run with the orders of at most maxConnEvents events that begin with prefix. An
// order that run reports as impossible is not extended.
func forEachOrder(prefix []connEvent, run func(order []connEvent) (isPossible bool)) {
	if !run(prefix) || len(prefix) == maxConnEvents {
		return
	}
	for _, event := range connEvents {
		forEachOrder(append(prefix[:len(prefix):len(prefix)], event), run)
	}
}

// checkOrder checks what becomes of a stream after an order of events, and reports whether the
// order is possible and the stream complete.
func checkOrder(t *testing.T, framing target.Framing, order []connEvent) (isPossible, isComplete bool) {
	o := newOrdersTarget(t, framing)
	defer func() { _ = o.remote.Close() }()
	defer o.response.Close()
	for _, event := range order {
		if !o.apply(event) {
			return false, false
		}
	}
	if !o.hasEnd() {
		return true, false
	}
	_, err := readEvents(o.response)
	if cause := o.cause(err); cause != "" {
		require.Equal(t, cause, o.response.End().Cause, "%v: %v", order, err)
	}
	// An orderly end is the end of a stream that the connection delimits, after any event.
	isWhole := o.sent == ordersLastEvent
	if framing == target.FramingConnection {
		isWhole = o.isClosed
	}
	if errors.Is(err, io.EOF) {
		require.True(t, isWhole, "%v: complete: %v", order, o.response.End())
		return true, true
	}
	mayFail := !isWhole || o.isCanceled || o.wasTaken || o.response.writeErr != nil
	require.True(t, mayFail, "%v: %v, %v", order, err, o.response.End())
	return true, false
}

// cause returns what has ended the response; empty if there are two causes.
func (o *ordersTarget) cause(err error) target.EndCause {
	switch {
	case errors.Is(err, io.EOF):
		return map[target.Framing]target.EndCause{
			target.FramingConnection: target.EndClose, target.FramingLength: target.EndLength, target.FramingChunked: target.EndLastChunk,
		}[o.framing]
	case o.isCanceled:
		return target.EndCanceled
	case o.isReset && o.isClosed:
		return ""
	case o.isReset:
		return target.EndReset
	}
	return target.EndClose
}

// hasEnd reports whether the reader comes to an end without another event.
func (o *ordersTarget) hasEnd() bool {
	isWhole := o.framing != target.FramingConnection && o.sent == ordersLastEvent
	return o.isClosed || o.isReset || o.isCanceled || isWhole
}

// A reset whose report another operation took ends a framed response as truncated, and its log must
// not tell of an orderly end.
func TestEndOrders_TakenResetIsLoggedAsReset(t *testing.T) {
	for _, framing := range []target.Framing{target.FramingLength, target.FramingChunked} {
		o := newOrdersTarget(t, framing)
		o.apply(eventReset)
		o.apply(eventReported)
		_, err := o.response.Next()
		require.ErrorIs(t, err, target.ErrTruncated)
		require.Equal(t, target.EndReset, o.response.End().Cause, framing)
		o.response.Close()
	}
}

// lateTimerConn lets a timer fire after a read has returned an error.
type lateTimerConn struct {
	*net.TCPConn
	fire func()
}

func (c *lateTimerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		c.fire()
	}
	return n, err
}

// A host that had stood still logged the reset of a stream as a silence, and avoided its target as
// a silent one: the timer fired after the read had returned the reset.
func TestEndOrders_TimerAfterTheEndIsNoTimeout(t *testing.T) {
	for _, framing := range []target.Framing{target.FramingConnection, target.FramingLength, target.FramingChunked} {
		for event, want := range map[connEvent]target.EndCause{eventReset: target.EndReset, eventClose: target.EndClose} {
			if framing == target.FramingConnection && event == eventClose {
				continue // The end of such a stream.
			}
			o := newOrdersTarget(t, framing)
			o.apply(event)
			o.response.conn.Conn = &lateTimerConn{o.response.conn.Conn.(*net.TCPConn), func() { o.apply(eventTimer) }}
			_, err := o.response.Next()
			require.ErrorIs(t, err, target.ErrTruncated, "%s %s", framing, event)
			require.Equal(t, want, o.response.End().Cause, "%s %s", framing, event)
			o.response.Close()
		}
	}
}
