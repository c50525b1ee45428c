package hub

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// delayedConn delivers what is written to it after a delay, as a peer without enough processor
// time receives it.
type delayedConn struct {
	net.Conn

	delay   time.Duration
	clock   clockwork.Clock
	pending chan delayedWrite
}

type delayedWrite struct {
	due  time.Time
	data []byte
}

func newDelayedConn(conn net.Conn, delay time.Duration) net.Conn {
	c := &delayedConn{Conn: conn, delay: delay, clock: clockwork.NewRealClock(), pending: make(chan delayedWrite, 1<<12)}
	go func() {
		for write := range c.pending {
			<-c.clock.After(c.clock.Until(write.due))
			if _, err := conn.Write(write.data); err != nil {
				return
			}
		}
	}()
	return c
}

func (c *delayedConn) Write(data []byte) (int, error) {
	c.pending <- delayedWrite{due: c.clock.Now().Add(c.delay), data: append([]byte(nil), data...)}
	return len(data), nil
}

// After all of 300 hosts and 3,000 targets were restarted, only the leader had contact with a
// majority, and got all of them. It answered read barriers after more than 250 ms, when the hubs
// without contact had given them up, so that these never got contact.
func TestMajorityContact_IsFoundAtASlowLeader(t *testing.T) {
	const delay = 150 * time.Millisecond
	c := &cluster{t: t, tolerates: 1}
	c.wrapConn = func(conn net.Conn) net.Conn { return newDelayedConn(conn, delay) }
	for range 3 {
		c.add()
	}
	for i := range c.hubs {
		c.start(i, true)
	}
	t.Cleanup(func() {
		for i := range c.hubs {
			c.stop(i)
		}
	})
	c.eventually("all hubs have contact", func() bool {
		for _, h := range c.hubs {
			if !h.hasMajorityContact() {
				return false
			}
		}
		return true
	})
}
