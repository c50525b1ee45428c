package intake

import (
	"io"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// lingerTime and lingerBytes limit what is read from a client that was refused.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
	// lingererShare limits the connections of clients that were refused: 1 for lingererShare of
	// those that a listener may have open, and one more.
	lingererShare = 16
)

// lingerers closes connections whose clients may still send. Closing a connection with unread
// data resets it, and the client could lose the response.
type lingerers struct {
	clock clockwork.Clock
	slots chan struct{}
}

func newLingerers(clock clockwork.Clock, maxConnections int) *lingerers {
	return &lingerers{clock: clock, slots: make(chan struct{}, 1+maxConnections/lingererShare)}
}

// tryClose closes a connection once its client has read the response. It returns false if there
// are too many such connections, or this one can't be closed so.
func (l *lingerers) tryClose(c net.Conn) bool {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	select {
	case l.slots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-l.slots }()
		// Each of these fails only on a connection that is already closed.
		_ = c.SetReadDeadline(l.clock.Now().Add(lingerTime))
		_ = half.CloseWrite()
		var rest [512]byte
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(c, lingerBytes), rest[:])
		_ = c.Close()
	}()
	return true
}
