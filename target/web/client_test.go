package web

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/conn"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// script is a target that answers each request with given bytes.
type script struct {
	listener net.Listener
	conns    chan net.Conn
	// asked gets a token for each request that has arrived.
	asked chan struct{}
}

// newScript answers the requests of all connections in turn by answers; an
// empty answer stays silent.
func newScript(t *testing.T, answers ...string) *script {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &script{listener: listener, conns: make(chan net.Conn, 16), asked: make(chan struct{}, 16)}
	next := make(chan string, len(answers))
	for _, answer := range answers {
		next <- answer
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns <- c
			go s.answerEach(c, next)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *script) answerEach(c net.Conn, next chan string) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.asked <- struct{}{}
		if answer := <-next; answer != "" {
			_, _ = io.WriteString(c, answer)
		}
	}
}

func (s *script) call() target.Call {
	return target.Call{RequestID: "r", Address: s.listener.Addr().String(), Service: "Treasury", Name: "Pay"}
}

const okAnswer = "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Length: 2\r\n\r\n{}"

func TestAConnectionThatTimedOutIsClosedAndNotUsedAgain(t *testing.T) {
	s := newScript(t, "", okAnswer)
	clock := clockwork.NewFakeClock()
	client := NewClient(clock, WithDialTimeout(0))
	defer client.Close()
	call := s.call()
	call.FirstByte = time.Second
	failed := make(chan error, 1)
	go func() {
		_, err := client.Send(context.Background(), call)
		failed <- err
	}()
	<-s.asked
	first := <-s.conns
	clock.Advance(time.Second)
	err := <-failed
	require.ErrorIs(t, err, target.ErrSilent)
	var sendError *target.SendError
	require.ErrorAs(t, err, &sendError)
	require.True(t, sendError.Sent)

	call.FirstByte = 0
	answer, err := client.Send(context.Background(), call)
	require.NoError(t, err)
	answer.Close()
	second := <-s.conns
	require.NotEqual(t, first.RemoteAddr(), second.RemoteAddr())
}

func TestConnectionsAreKeptOnlyForAWholeAnswerAndAShortTime(t *testing.T) {
	const cutAnswer = "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Length: 5\r\n\r\n"
	s := newScript(t, okAnswer, okAnswer, cutAnswer, okAnswer)
	clock := clockwork.NewFakeClock()
	client := NewClient(clock, WithDialTimeout(0), WithMaxIdleTime(time.Second))
	defer client.Close()
	ask := func(fresh, read bool) {
		call := s.call()
		call.Fresh = fresh
		answer, err := client.Send(context.Background(), call)
		require.NoError(t, err)
		if read {
			_, err = answer.Body(100)
			require.NoError(t, err)
		}
		answer.Close()
	}
	ask(false, true)
	ask(false, true)
	require.Len(t, s.conns, 1, "a whole answer's connection is used again")
	clock.Advance(2 * time.Second)
	ask(false, false)
	require.Len(t, s.conns, 2, "an old connection is not")
	ask(false, true)
	require.Len(t, s.conns, 3, "nor one whose answer was not read to its end")
}

func TestAKeptConnectionWithSomethingToReadIsNotUsed(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"a late duplicate": func(c net.Conn) { _, _ = io.WriteString(c, okAnswer) },
		"its end":          func(c net.Conn) { _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, okAnswer, okAnswer)
			client := NewClient(clockwork.NewRealClock(), WithMaxIdleTime(time.Hour))
			defer client.Close()
			ask := func() {
				answer, err := client.Send(context.Background(), s.call())
				require.NoError(t, err)
				_, err = answer.Body(10)
				require.NoError(t, err)
				answer.Close()
			}
			ask()
			kept := client.pool.idle[s.listener.Addr().String()][0]
			disturb(<-s.conns)
			require.Eventually(t, func() bool { return !conn.Quiet(kept.Conn) }, 10*time.Second, time.Millisecond)
			ask()
			require.Len(t, s.conns, 1, "a new connection was opened")
		})
	}
}

func TestOneDeadConnectionEndsTheOthersKeptToItsTarget(t *testing.T) {
	s := newScript(t, okAnswer, okAnswer, "", okAnswer)
	clock := clockwork.NewFakeClock()
	client := NewClient(clock, WithDialTimeout(0), WithMaxIdleTime(time.Hour))
	defer client.Close()
	var answers []target.Answer
	for range 2 {
		answer, err := client.Send(context.Background(), s.call())
		require.NoError(t, err)
		answers = append(answers, answer)
		<-s.asked
	}
	for _, answer := range answers {
		_, err := answer.Body(10)
		require.NoError(t, err)
		answer.Close()
	}
	call := s.call()
	call.FirstByte = time.Second
	failed := make(chan error, 1)
	go func() {
		_, err := client.Send(context.Background(), call)
		failed <- err
	}()
	<-s.asked
	clock.Advance(time.Second)
	err := <-failed
	var sendError *target.SendError
	require.ErrorAs(t, err, &sendError)
	require.True(t, sendError.Reused)
	answer, err := client.Send(context.Background(), s.call())
	require.NoError(t, err)
	answer.Close()
	require.Len(t, s.conns, 3, "the other kept connection is not used")
}

func TestAFreshCallNeverUsesAnOldConnection(t *testing.T) {
	s := newScript(t, okAnswer, okAnswer)
	client := NewClient(clockwork.NewRealClock())
	defer client.Close()
	for range 2 {
		call := s.call()
		call.Fresh = true
		answer, err := client.Send(context.Background(), call)
		require.NoError(t, err)
		_, err = answer.Body(10)
		require.NoError(t, err)
		answer.Close()
	}
	require.Len(t, s.conns, 2)
}

func TestAnswersThatCannotBeToldWholeAreRefused(t *testing.T) {
	cases := []struct {
		name, answer string
		want         error
	}{
		{"no length", "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nConnection: close\r\n\r\n{}", target.ErrMalformed},
		{"another request", "HTTP/1.1 200 OK\r\nComfreytiller-Request: q\r\nContent-Length: 2\r\n\r\n{}", target.ErrCrossed},
		{"no request", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", target.ErrCrossed},
		{"too long", "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Length: 2000\r\n\r\n{}", target.ErrTooLong},
		{"too long in chunks", "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"C8\r\n" + string(make([]byte, 200)) + "\r\n0\r\n\r\n", target.ErrTooLong},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newScript(t, test.answer)
			client := NewClient(clockwork.NewRealClock())
			defer client.Close()
			answer, err := client.Send(context.Background(), s.call())
			if err == nil {
				_, err = answer.Body(100)
				answer.Close()
			}
			require.ErrorIs(t, err, test.want)
		})
	}
}

func TestNothingIsSentWhenTheLastCheckRefuses(t *testing.T) {
	s := newScript(t, okAnswer)
	client := NewClient(clockwork.NewRealClock())
	defer client.Close()
	call := s.call()
	refused := io.ErrClosedPipe
	call.BeforeSend = func() error { return refused }
	_, err := client.Send(context.Background(), call)
	require.ErrorIs(t, err, target.ErrNotSent)
	require.ErrorIs(t, err, refused)
	var sendError *target.SendError
	require.ErrorAs(t, err, &sendError)
	require.False(t, sendError.Sent)
}
