package web

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target"
)

// endHookConn calls onEnd when a read has found the end of the input.
type endHookConn struct {
	*net.TCPConn
	onEnd func()
}

func (c *endHookConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		c.onEnd()
	}
	return n, err
}

// The deadline passes between the read of an end and the check of the connection, which the
// deadline closes. A reset whose report another operation took then looks like an orderly end, since
// a closed connection tells nothing.
func TestCanceledEnd_IsNoOrderlyEndOfResetConnection(t *testing.T) {
	o := newOrdersTarget(t, target.FramingConnection)
	defer o.response.Close()
	conn := &endHookConn{TCPConn: o.response.conn.Conn.(*net.TCPConn)}
	conn.onEnd = func() {
		o.cancel()
		o.await(func() bool { return o.state() == 0 })
	}
	o.apply(eventReset)
	o.apply(eventReported)
	o.response.conn.Conn = conn
	_, err := o.response.Next()
	require.ErrorIs(t, err, context.Canceled, "%v", o.response.End())
	require.Equal(t, target.EndCanceled, o.response.End().Cause)
}
