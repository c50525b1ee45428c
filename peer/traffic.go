package peer

import (
	"reflect"
	"sync"
)

// TypeTraffic is the traffic of the messages of one type.
type TypeTraffic struct {
	SentFrames     int
	SentBytes      int
	ReceivedFrames int
	ReceivedBytes  int
}

// traffic counts the frames of all connections of a node by the type of their message.
type traffic struct {
	mu     sync.Mutex
	byType map[reflect.Type]*TypeTraffic
}

func newTraffic() *traffic { return &traffic{byType: map[reflect.Type]*TypeTraffic{}} }

func (t *traffic) recordSent(message Message, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted := t.ofType(message)
	counted.SentFrames++
	counted.SentBytes += bytes
}

func (t *traffic) recordReceived(message Message, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted := t.ofType(message)
	counted.ReceivedFrames++
	counted.ReceivedBytes += bytes
}

// ofType returns the traffic of the message's type. The caller must hold t.mu.
func (t *traffic) ofType(message Message) *TypeTraffic {
	key := reflect.TypeOf(message)
	counted := t.byType[key]
	if counted == nil {
		counted = &TypeTraffic{}
		t.byType[key] = counted
	}
	return counted
}

// Traffic returns the frames that were sent and received since the last call, with their
// sizes in bytes without framing, by the name of the message type.
func (n *Node) Traffic() map[string]TypeTraffic {
	t := n.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := make(map[string]TypeTraffic, len(t.byType))
	for key, counted := range t.byType {
		taken[key.Name()] = *counted
	}
	clear(t.byType)
	return taken
}
