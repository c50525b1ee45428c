package gateway

import (
	"bytes"
	"context"
	"testing"
	"time"

	"comfreytiller.dev/standin"
	"comfreytiller.dev/target"
	"github.com/stretchr/testify/require"
)

// endlessEvents is a response whose events have all arrived already.
type endlessEvents struct {
	target.Response
	event target.Event
	taken int
}

func (e *endlessEvents) Next() (target.Event, error) {
	e.taken++
	return e.event, nil
}

func (e *endlessEvents) EventBuffered() bool { return true }

// Guards against a host that holds a stream for a caller that reads slowly: events are
// taken from the target only as the caller reads, about half of a read ahead, so that the
// target is throttled by its connection.
func TestStreamRelay_TakesEventsOnlyAsTheCallerReads(t *testing.T) {
	f := newFixture(t)
	config := exampleFleet()
	service, _ := config.Service("Reviews")
	call, _ := service.Call("Draft")
	d := f.gateway.newDispatcher(context.Background(), &Request{ID: "r-1", Service: service, Call: call, Deadline: f.gateway.Clock.Now().Add(time.Minute)})
	defer d.cancel()
	events := &endlessEvents{event: target.Event{Data: bytes.Repeat([]byte("x"), 100)}}
	relay := &streamRelay{exchange: &exchange{dispatcher: d}, attempt: &attempt{response: events, firstEvent: events.event}}
	buffer := make([]byte, 4096)
	read := 0
	for range 1000 {
		n, err := relay.Read(buffer)
		require.NoError(t, err)
		read += n
		require.LessOrEqual(t, cap(relay.buffer), 2*len(buffer), "what is held for the caller")
	}
	require.LessOrEqual(t, events.taken, read/100+1)
}

// Guards against callers that never read and whose streams take the place of others: they
// are cut after the write timeout, and their targets are released.
func TestSlowReaders_AreCutAndOthersAreServed(t *testing.T) {
	const readers = 20
	f := newFixture(t, WithWriteTimeout(500*time.Millisecond))
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1", DefaultTokens: 1})
	for range readers {
		connection := f.openUnreadStream()
		defer connection.Close()
	}
	eventually(t, func() bool { return engine.Stats().Requests >= readers }, "the engine receives the requests")
	status, _ := f.postAndRead("Reviews/Draft", `{"Tokens":3}`)
	require.Equal(t, 200, status)
	eventually(t, func() bool { return f.gateway.InFlight() == 0 && engine.InFlight() == 0 }, "the slow readers are cut")
}
