package gateway

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// failingListener fails to accept a connection while errno is set.
type failingListener struct {
	net.Listener
	errno    atomic.Uintptr
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errno := syscall.Errno(l.errno.Load()); err == nil && errno != 0 {
		l.failures.Add(1)
		_ = c.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return c, err
}

// A host without a free descriptor for another connection must go on serving the requests
// in flight and accept connections again later.
func TestAccept_ContinuesAfterTemporaryError(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			f := newFixture(t)
			f.addEngine(standin.EngineSettings{Name: "engine-1"})
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			listener := &failingListener{Listener: inner}
			t.Cleanup(func() { _ = inner.Close() })
			served := make(chan error, 1)
			go func() { served <- f.gateway.Serve(listener) }()
			f.address = inner.Addr().String()

			listener.errno.Store(uintptr(errno))
			eventually(t, func() bool {
				connection, err := net.Dial("tcp", f.address)
				if err == nil {
					_ = connection.Close()
				}
				return listener.failures.Load() > 1 || len(served) > 0
			}, "several connections can't be accepted")
			require.Empty(t, served)
			listener.errno.Store(0)
			status, _ := f.postAndRead("Reviews/Status", draftBody)
			require.Equal(t, 200, status)
			require.Empty(t, served)
			require.NoError(t, inner.Close())
			require.NoError(t, <-served, "a closed listener ends the server without an error")
		})
	}
}
