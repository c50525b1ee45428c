package web

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/target"
)

// repeatingReader returns start and then rest without end. It counts the bytes read.
type repeatingReader struct {
	start, rest string
	read        int
	// offset is the position within rest.
	offset int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.start)
	r.start = r.start[n:]
	for n < len(p) {
		copied := copy(p[n:], r.rest[r.offset:])
		n += copied
		r.offset = (r.offset + copied) % len(r.rest)
	}
	r.read += n
	return n, nil
}

// Bytes between events are skipped; without a limit a host would read them, at full
// speed, until the timeout of the stream.
func TestEventStreams_LimitSkippedBytes(t *testing.T) {
	const maxRead = maxSkippedBytes + maxEventBytes + 2*readBufferBytes
	native := func(r *bufio.Reader) EventStream {
		return nativeDialect{}.NewEventStream(r, &target.Call{RequestID: "r", Offset: 1})
	}
	passthrough := func(r *bufio.Reader) EventStream { return NewPassthroughEvents(r, "5") }
	for name, test := range map[string]struct {
		open        func(*bufio.Reader) EventStream
		start, rest string
	}{
		"native, empty lines":           {native, "", "\n"},
		"native, comments":              {native, "", ": still here\n"},
		"native, data lines":            {native, "id: r/1\n", "data: x\n"},
		"native, duplicate events":      {native, "", "id: r/0\ndata: " + strings.Repeat("x", 100) + "\n\n"},
		"passthrough, empty lines":      {passthrough, "", "\r\n"},
		"passthrough, comments":         {passthrough, "", ": still here\n"},
		"passthrough, data lines":       {passthrough, "id: 6\n", "data: x\n"},
		"passthrough, duplicate events": {passthrough, "", "id: 5\ndata: x\n\n"},
		"passthrough, long line":        {passthrough, "id: 6\ndata: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			reader := &repeatingReader{start: test.start, rest: test.rest}
			_, err := test.open(bufio.NewReaderSize(reader, readBufferBytes)).Next()
			require.ErrorIs(t, err, target.ErrResponseTooLarge)
			require.LessOrEqual(t, reader.read, maxRead)
		})
	}
}

// An idle connection into which a target sends must be closed although no other
// connection is used.
func TestPool_ClosesExpiredConnectionsWithoutTraffic(t *testing.T) {
	s := newScriptedTarget(t, okResponse)
	clock := clockwork.NewFakeClock()
	client := NewClient(clock, WithDialTimeout(0), WithMaxIdleTime(time.Second))
	defer client.Close()
	response, err := client.Send(context.Background(), s.call())
	require.NoError(t, err)
	_, err = response.Body(100)
	require.NoError(t, err)
	response.Close()
	clock.Advance(2 * time.Second)
	require.Eventually(t, func() bool {
		client.pool.mu.Lock()
		defer client.pool.mu.Unlock()
		return len(client.pool.idle) == 0
	}, 10*time.Second, time.Millisecond)
	connection := <-s.conns
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = connection.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// A body is not given the memory that its header announces before it arrives.
func TestResponse_AnnouncedLengthReservesLittleMemory(t *testing.T) {
	s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Length: 1048576\r\n\r\nxx")
	client := NewClient(clockwork.NewRealClock())
	defer client.Close()
	reserved := 0
	call := s.call()
	call.GapTimeout = 50 * time.Millisecond
	call.ReserveBody = func(bytes int) error { reserved += bytes; return nil }
	response, err := client.Send(context.Background(), call)
	require.NoError(t, err)
	_, err = response.Body(2 << 20)
	require.ErrorIs(t, err, target.ErrTimeout)
	response.Close()
	require.LessOrEqual(t, reserved, maxInitialBodyBytes)
}

// bytesConn is a connection that returns given bytes and then ends.
type bytesConn struct {
	net.Conn
	reader *bytes.Reader
}

func (c *bytesConn) Read(p []byte) (int, error)  { return c.reader.Read(p) }
func (c *bytesConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *bytesConn) Close() error                { return nil }

// FuzzResponse: whatever a target sends, reading it ends with an error or with a
// response to the call within the limit, and the buffers stay within what was reserved.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: r/0\n\n\r\n0\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nRetry-After: -1\r\nContent-Length: 9\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Length: 99999999999999999999\r\n\r\nx"), false)
	f.Fuzz(func(t *testing.T, data []byte, stream bool) {
		const limit = 1 << 16
		clock := clockwork.NewFakeClock()
		client := NewClient(clock, WithMaxIdleTime(0))
		reserved := 0
		call := target.Call{
			RequestID: "r", Address: "127.0.0.1:1", Service: "s", Name: "n", Stream: stream,
			ReserveBody: func(bytes int) error { reserved += bytes; return nil },
		}
		request := fasthttp.AcquireRequest()
		nativeDialect{}.WriteRequest(request, &call)
		conn := newTargetConn(clock, &bytesConn{reader: bytes.NewReader(data)}, call.Address)
		response, err := client.roundTrip(context.Background(), conn, request, call, nativeDialect{})
		if err != nil {
			return
		}
		defer response.Close()
		require.LessOrEqual(t, response.Header().RetryAfter, maxRetryAfter)
		require.GreaterOrEqual(t, response.Header().RetryAfter, time.Duration(0))
		if !response.Header().Stream {
			body, err := response.Body(limit)
			if err == nil {
				require.LessOrEqual(t, len(body), limit)
				require.LessOrEqual(t, len(body), len(data))
			}
			require.LessOrEqual(t, reserved, limit+1)
			return
		}
		for range len(data) + 1 {
			event, err := response.Next()
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(event.Data), len(data))
		}
		require.Fail(t, "the stream has more events than bytes")
	})
}
