package web

import (
	"bufio"
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

// passthroughDialect sends the call's body unchanged and accepts any response.
type passthroughDialect struct{}

func (passthroughDialect) SupportsCancel() bool       { return false }
func (passthroughDialect) AllowsCloseDelimited() bool { return true }

func (passthroughDialect) WriteRequest(request *fasthttp.Request, call *target.Call) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetHost(call.Address)
	request.Header.SetRequestURI("/x")
	request.SetBodyRaw(call.Body)
}

func (passthroughDialect) ParseHeader(header *fasthttp.ResponseHeader, _ *target.Call) (target.ResponseHeader, error) {
	return target.ResponseHeader{Status: header.StatusCode(), Stream: string(header.ContentType()) == contentTypeEventStream}, nil
}

func (passthroughDialect) NewEventStream(body *bufio.Reader, call *target.Call) EventStream {
	return NewPassthroughEvents(body, call.LastEventID)
}

func newPassthroughClient(t *testing.T) *Client {
	client := NewClient(clockwork.NewRealClock(), WithDialect(passthroughDialect{}), WithMaxIdleTime(time.Minute))
	t.Cleanup(client.Close)
	return client
}

// startServer serves each connection with the given function and returns accepted
// connections in a channel.
func startServer(t *testing.T, serve func(c net.Conn, reader *bufio.Reader)) (address string, conns chan net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns = make(chan net.Conn, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- c
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), conns
}

// A target may respond before it has read a long request. The response must be
// returned, and the connection must not be reused, since part of the request body
// has not been sent.
func TestClient_EarlyResponseToLongRequest(t *testing.T) {
	address, conns := startServer(t, func(c net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno")
		_, _ = io.Copy(io.Discard, io.LimitReader(reader, 1<<10))
		<-t.Context().Done()
	})
	client := newPassthroughClient(t)
	call := target.Call{Address: address, Body: []byte(strings.Repeat("x", 32<<20))}
	for range 2 {
		response, err := client.Send(context.Background(), call)
		require.NoError(t, err)
		require.Equal(t, 413, response.Header().Status)
		body, err := response.Body(1 << 10)
		require.NoError(t, err)
		require.Equal(t, "no", string(body))
		response.Close()
	}
	require.Len(t, conns, 2)
}

func TestClient_CloseDelimitedResponse(t *testing.T) {
	address, conns := startServer(t, func(c net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n")
	})
	client := newPassthroughClient(t)
	for range 2 {
		response, err := client.Send(context.Background(), target.Call{Address: address})
		require.NoError(t, err)
		_, err = response.Next()
		require.NoError(t, err)
		_, err = response.Next()
		require.ErrorIs(t, err, io.EOF)
		response.Close()
	}
	require.Len(t, conns, 2, "the connection of a close-delimited response must not be reused")
}

func TestClient_ConnectionResetTruncatesCloseDelimitedResponse(t *testing.T) {
	address, _ := startServer(t, func(c net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n")
		_ = c.(*net.TCPConn).SetLinger(0)
		// Reset the connection only after the client has read the event.
		_, _ = reader.ReadString('!')
	})
	response, err := newPassthroughClient(t).Send(context.Background(), target.Call{Address: address})
	require.NoError(t, err)
	defer response.Close()
	_, err = response.Next()
	require.NoError(t, err)
	_, err = response.(*Response).conn.Write([]byte("!"))
	require.NoError(t, err)
	_, err = response.Next()
	require.ErrorIs(t, err, target.ErrTruncated)
}

func TestClient_StreamShorterThanContentLengthIsTruncated(t *testing.T) {
	address, _ := startServer(t, func(c net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 999\r\n\r\nid: 1\ndata: a\n\n")
	})
	response, err := newPassthroughClient(t).Send(context.Background(), target.Call{Address: address})
	require.NoError(t, err)
	defer response.Close()
	_, err = response.Next()
	require.NoError(t, err)
	_, err = response.Next()
	require.ErrorIs(t, err, target.ErrTruncated)
}
