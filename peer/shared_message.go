package peer

import (
	"sync"
	"time"
)

// sharedMessage is a message to several hosts that expects no reply. It is encoded once, by the
// connection that sends it first.
type sharedMessage struct {
	Message

	once  sync.Once
	frame []byte
	err   error
}

func (m *sharedMessage) encode(now time.Time) ([]byte, error) {
	m.once.Do(func() { m.frame, m.err = encodeFrame(frame{message: m.Message}, now) })
	return m.frame, m.err
}

// unwrapShared returns the message that a sharedMessage contains, and any other one as it is.
func unwrapShared(message Message) Message {
	if shared, ok := message.(*sharedMessage); ok {
		return shared.Message
	}
	return message
}

// SendAll queues a message to the hosts at the addresses, as Send does for one.
func (n *Node) SendAll(addresses []string, message Message) {
	shared := &sharedMessage{Message: message}
	for _, address := range addresses {
		n.Send(address, shared)
	}
}
