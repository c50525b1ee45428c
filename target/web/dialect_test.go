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

// openDialect hands requests on and takes any answer.
type openDialect struct{}

func (openDialect) SupportsCancel() bool       { return false }
func (openDialect) AllowsCloseDelimited() bool { return true }

func (openDialect) WriteRequest(request *fasthttp.Request, call *target.Call) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetHost(call.Address)
	request.Header.SetRequestURI("/x")
	request.SetBodyRaw(call.Body)
}

func (openDialect) ParseHeader(header *fasthttp.ResponseHeader, _ *target.Call) (target.AnswerHeader, error) {
	return target.AnswerHeader{Status: header.StatusCode(), Stream: string(header.ContentType()) == contentStream}, nil
}

func (openDialect) NewEventStream(body *bufio.Reader, call *target.Call) EventStream {
	return NewPassthroughEvents(body, call.LastEvent)
}

func openClient(t *testing.T) *Client {
	client := NewClient(clockwork.NewRealClock(), WithDialect(openDialect{}), WithMaxIdleTime(time.Minute))
	t.Cleanup(client.Close)
	return client
}

// server answers each connection by a function and counts them.
func server(t *testing.T, serve func(c net.Conn, reader *bufio.Reader)) (address string, conns chan net.Conn) {
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

// A target may answer before it has read a long request. The answer is read, and
// the connection, which still owes the rest of the body, is not used again.
func TestAnEarlyAnswerToALongRequestIsRead(t *testing.T) {
	address, conns := server(t, func(c net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno")
		_, _ = io.Copy(io.Discard, io.LimitReader(reader, 1<<10))
		<-t.Context().Done()
	})
	client := openClient(t)
	call := target.Call{Address: address, Body: []byte(strings.Repeat("x", 32<<20))}
	for range 2 {
		answer, err := client.Send(context.Background(), call)
		require.NoError(t, err)
		require.Equal(t, 413, answer.Header().Status)
		body, err := answer.Body(1 << 10)
		require.NoError(t, err)
		require.Equal(t, "no", string(body))
		answer.Close()
	}
	require.Len(t, conns, 2)
}

func TestAnAnswerMayEndWithItsConnection(t *testing.T) {
	address, conns := server(t, func(c net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n")
	})
	client := openClient(t)
	for range 2 {
		answer, err := client.Send(context.Background(), target.Call{Address: address})
		require.NoError(t, err)
		_, err = answer.Next()
		require.NoError(t, err)
		_, err = answer.Next()
		require.ErrorIs(t, err, io.EOF)
		answer.Close()
	}
	require.Len(t, conns, 2, "such a connection is not used again")
}

func TestAResetAnswerIsNoWholeOne(t *testing.T) {
	address, _ := server(t, func(c net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n")
		_ = c.(*net.TCPConn).SetLinger(0)
		// The end follows once the event has been read.
		_, _ = reader.ReadString('!')
	})
	answer, err := openClient(t).Send(context.Background(), target.Call{Address: address})
	require.NoError(t, err)
	defer answer.Close()
	_, err = answer.Next()
	require.NoError(t, err)
	_, err = answer.(*Response).link.Write([]byte("!"))
	require.NoError(t, err)
	_, err = answer.Next()
	require.ErrorIs(t, err, target.ErrCut)
}

// A stream with a length that ends before it is cut.
func TestAStreamShorterThanItsLengthIsCut(t *testing.T) {
	address, _ := server(t, func(c net.Conn, reader *bufio.Reader) {
		_, _ = reader.ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 999\r\n\r\nid: 1\ndata: a\n\n")
	})
	answer, err := openClient(t).Send(context.Background(), target.Call{Address: address})
	require.NoError(t, err)
	defer answer.Close()
	_, err = answer.Next()
	require.NoError(t, err)
	_, err = answer.Next()
	require.ErrorIs(t, err, target.ErrCut)
}
