package standin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/web"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// eventuallyTimeout limits the wait for a condition.
const eventuallyTimeout = 10 * time.Second

func newEngine(t *testing.T, settings EngineSettings) *Engine {
	settings.Name = "engine-1"
	engine, err := NewEngine(clockwork.NewRealClock(), settings)
	require.NoError(t, err)
	t.Cleanup(engine.Close)
	return engine
}

func newClient(t *testing.T) *web.Client {
	client := web.NewClient(clockwork.NewRealClock())
	t.Cleanup(client.Close)
	return client
}

func draftCall(e *Engine, id string) target.Call {
	return target.Call{RequestID: id, Address: e.Address(), Service: "Reviews", Name: "Draft", Stream: true, Body: []byte("p")}
}

// readTokens sends a call and returns the tokens of the streamed response.
func readTokens(client *web.Client, call target.Call) ([]string, target.StreamEnd, error) {
	response, err := client.Send(context.Background(), call)
	if err != nil {
		return nil, target.StreamEnd{}, err
	}
	defer response.Close()
	var tokens []string
	for {
		event, err := response.Next()
		if errors.Is(err, io.EOF) {
			return tokens, response.End(), nil
		}
		if err != nil {
			return tokens, target.StreamEnd{}, err
		}
		tokens = append(tokens, string(event.Data))
	}
}

func TestEngine_ResumesStreamAtOffset(t *testing.T) {
	client := newClient(t)
	first, second := newEngine(t, EngineSettings{}), newEngine(t, EngineSettings{})
	allTokens, _, err := readTokens(client, draftCall(first, "r-1"))
	require.NoError(t, err)
	require.Len(t, allTokens, defaultTokenCount)
	call := draftCall(second, "r-1")
	call.Offset = 3
	rest, end, err := readTokens(client, call)
	require.NoError(t, err)
	require.Equal(t, allTokens[3:], rest)
	require.Equal(t, defaultTokenCount, end.Events)
	require.Equal(t, 1, second.Stats().Resumed)
}

func TestEngine_EvictsLeastRecentlyUsedChat(t *testing.T) {
	client := newClient(t)
	engine := newEngine(t, EngineSettings{CacheCapacityChats: 2})
	sendRequest := func(chat string) bool {
		call := draftCall(engine, "r-"+chat)
		call.Chat = chat
		_, end, err := readTokens(client, call)
		require.NoError(t, err)
		return end.CacheHit
	}
	require.False(t, sendRequest("a"))
	require.False(t, sendRequest("b"))
	require.True(t, sendRequest("a"))
	require.False(t, sendRequest("c"))
	require.False(t, sendRequest("b"), "b is the least recently used chat and must be evicted")
	engine.CrashAndRestart(true)
	require.True(t, sendRequest("b"), "the prefix cache must survive the restart")
	engine.CrashAndRestart(false)
	require.False(t, sendRequest("b"))
}

func TestEngine_ColdOverloadCrashes(t *testing.T) {
	client := newClient(t)
	engine := newEngine(t, EngineSettings{ColdRequests: 2, ColdOverloadLimit: 1, ColdFirstByte: time.Hour})
	callErr := make(chan error, 1)
	go func() {
		_, _, err := readTokens(client, draftCall(engine, "r-1"))
		callErr <- err
	}()
	require.Eventually(t, func() bool { return engine.InFlight() == 1 }, eventuallyTimeout, time.Millisecond)
	_, _, err := readTokens(client, draftCall(engine, "r-2"))
	require.Error(t, err)
	require.Error(t, <-callErr)
	stats := engine.Stats()
	require.Equal(t, 1, stats.Crashes)
	require.Equal(t, 2, stats.MaxColdInFlight)
	require.True(t, engine.Cold())
}

func TestEngine_WarmsUpAfterCompletedRequests(t *testing.T) {
	client := newClient(t)
	engine := newEngine(t, EngineSettings{ColdRequests: 2, ColdOverloadLimit: 1})
	for _, id := range []string{"r-1", "r-2"} {
		require.True(t, engine.Cold())
		_, _, err := readTokens(client, draftCall(engine, id))
		require.NoError(t, err)
	}
	require.False(t, engine.Cold())
	engine.SetCold()
	require.True(t, engine.Cold())
}

// A queued request that is cancelled leaves the engine at once; if the report still
// counted it as queued, the number in flight would be negative.
func TestEngine_LoadReportExcludesCancelledRequests(t *testing.T) {
	engine := &Engine{slots: newSlotPool(1), inFlight: map[string]*engineRun{}, cache: newPrefixCache(1)}
	require.True(t, engine.slots.acquire(0, nil, nil))
	canceled := make(chan struct{})
	close(canceled)
	require.False(t, engine.slots.acquire(0, canceled, nil))
	report := engine.loadReport()
	require.Zero(t, report.InFlight)
	require.Zero(t, report.Queued)

	// The requests in flight of an engine that crashed are forgotten while one of them
	// is still in the queue.
	engine.slots.queue = append(engine.slots.queue, &waiter{ready: make(chan struct{})})
	report = engine.loadReport()
	require.Zero(t, report.InFlight)
	require.Zero(t, report.Queued)
}

func TestEngine_QueuedRequestsRunByPriority(t *testing.T) {
	clock := clockwork.NewFakeClock()
	engine, err := NewEngine(clock, EngineSettings{Name: "engine-1", MaxRunning: 1, FirstByte: time.Second, DefaultTokens: 1})
	require.NoError(t, err)
	t.Cleanup(engine.Close)
	client := newClient(t)
	var mu sync.Mutex
	var order []string
	var group sync.WaitGroup
	sendRequest := func(id string, priority int) {
		call := draftCall(engine, id)
		call.Priority = priority
		group.Go(func() {
			_, _, err := readTokens(client, call)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				order = append(order, id)
			}
		})
	}
	sendRequest("first", 0)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	for i, id := range []string{"low", "high", "middle"} {
		sendRequest(id, []int{1, 9, 5}[i])
		require.Eventually(t, func() bool { return engine.slots.queued() == i+1 }, eventuallyTimeout, time.Millisecond)
	}
	for done := 1; done <= 4; done++ {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(time.Second)
		require.Eventually(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(order) == done
		}, eventuallyTimeout, time.Millisecond)
	}
	group.Wait()
	require.Equal(t, []string{"first", "high", "middle", "low"}, order)
}

func TestEngine_CancelIgnoresLaterAttempt(t *testing.T) {
	for canceledAttempt, wantCanceled := range map[int]int{1: 0, 2: 1} {
		clock := clockwork.NewFakeClock()
		engine, err := NewEngine(clock, EngineSettings{Name: "engine-1", FirstByte: time.Second})
		require.NoError(t, err)
		t.Cleanup(engine.Close)
		client := newClient(t)
		call := draftCall(engine, "r-1")
		call.Attempt = 2
		ended := make(chan error, 1)
		go func() {
			_, _, err := readTokens(client, call)
			ended <- err
		}()
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		require.NoError(t, client.Cancel(t.Context(), engine.Address(), "r-1", canceledAttempt))
		clock.Advance(time.Second)
		err = <-ended
		require.Equal(t, wantCanceled == 0, err == nil)
		require.Eventually(t, func() bool { return engine.InFlight() == 0 }, eventuallyTimeout, time.Millisecond)
		require.Equal(t, wantCanceled, engine.Stats().Cancelled)
	}
}

func TestEngine_ExecutesOrderOnceAndChecksFencingToken(t *testing.T) {
	client := newClient(t)
	for _, checksFencingToken := range []bool{true, false} {
		engine := newEngine(t, EngineSettings{Service: "Old", ChecksFencingToken: checksFencingToken})
		load := func(id string, fencingToken uint64, service string) target.OrderState {
			reply, err := client.SendOrder(t.Context(), engine.Address(), target.Order{
				ID: id, FencingToken: fencingToken, Kind: target.OrderLoadModel, Service: service, Model: "m", Version: "2",
			})
			require.NoError(t, err)
			return reply.State
		}
		require.Equal(t, target.OrderDone, load("o-1", 7, "Reviews"))
		require.Equal(t, target.OrderDone, load("o-1", 7, "Reviews"), "a resent order must return the same state")
		service, model, _ := engine.LoadedModel()
		require.Equal(t, "Reviews", service)
		require.Equal(t, "m", model)
		state := load("o-2", 6, "Stale")
		service, _, _ = engine.LoadedModel()
		if checksFencingToken {
			require.Equal(t, target.OrderRefused, state)
			require.Equal(t, "Reviews", service)
		} else {
			require.Equal(t, target.OrderDone, state)
			require.Equal(t, "Stale", service)
		}
	}
}

func TestEngine_ExportsAndImportsKVCache(t *testing.T) {
	client := newClient(t)
	from, to := newEngine(t, EngineSettings{}), newEngine(t, EngineSettings{})
	call := draftCall(from, "r-1")
	call.Chat = "rabat/17"
	_, _, err := readTokens(client, call)
	require.NoError(t, err)
	cache, err := client.ExportCache(t.Context(), from.Address(), "rabat/17")
	require.NoError(t, err)
	require.NoError(t, client.ImportCache(t.Context(), to.Address(), "rabat/17", cache))
	require.True(t, to.HasCachedChat("rabat/17"))
	_, err = client.ExportCache(t.Context(), from.Address(), "unknown")
	require.ErrorIs(t, err, web.ErrUnexpectedStatus)
	require.Error(t, client.ImportCache(t.Context(), to.Address(), "other", []byte("not a cache")))
}

// hostSink records the messages that a target sends to a host.
type hostSink struct {
	mu            sync.Mutex
	announcements []target.Announcement
	loads         int
	events        []target.CacheEvent
	leaves        int
	targetUnknown bool
}

func (s *hostSink) HandleAnnouncement(_ context.Context, a target.Announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcements = append(s.announcements, a)
	s.targetUnknown = false
	return nil
}

func (s *hostSink) HandleLoadReport(_ context.Context, _ target.LoadReport) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	return !s.targetUnknown, nil
}

func (s *hostSink) HandleCacheEvent(_ context.Context, e target.CacheEvent) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
	return true, nil
}

func (s *hostSink) HandleLeave(context.Context, target.Leave) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaves++
	return nil
}

// waitFor waits until condition, which is called with mu held, returns true.
func (s *hostSink) waitFor(t *testing.T, condition func() bool) {
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return condition()
	}, eventuallyTimeout, time.Millisecond)
}

func TestEngine_SendsAnnouncementsAndCacheEvents(t *testing.T) {
	sink := &hostSink{}
	receiver := web.NewReceiver(sink, web.WithSharedKey("secret"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: receiver.Handle}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })

	clock := clockwork.NewFakeClock()
	engine, err := NewEngine(clock, EngineSettings{
		Name: "engine-1", Service: "Reviews", FailureDomain: "rabat-a", CacheCapacityChats: 1, Heartbeat: time.Second,
		CacheEventDelay: time.Millisecond,
		SharedKey:       "secret", Hosts: []string{"127.0.0.1:1", listener.Addr().String()},
	})
	require.NoError(t, err)
	t.Cleanup(engine.Close)
	sink.waitFor(t, func() bool { return len(sink.announcements) == 1 })
	require.Equal(t, engine.Address(), sink.announcements[0].Address)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	sink.waitFor(t, func() bool { return sink.loads == 1 })

	client := newClient(t)
	sendRequest := func(chat string) {
		call := draftCall(engine, "r-"+chat)
		call.Chat = chat
		_, _, err := readTokens(client, call)
		require.NoError(t, err)
		require.NoError(t, clock.BlockUntilContext(t.Context(), 2))
		clock.Advance(time.Millisecond)
	}
	sendRequest("a")
	sink.waitFor(t, func() bool { return len(sink.events) == 1 })
	sendRequest("b")
	sink.waitFor(t, func() bool { return len(sink.events) == 3 })
	require.Equal(t, uint64(1), sink.events[0].Sequence)
	require.ElementsMatch(t, []uint64{2, 3}, []uint64{sink.events[1].Sequence, sink.events[2].Sequence}, "delayed events may be reordered")

	engine.DropCacheEvents(1)
	sendRequest("c")
	sink.waitFor(t, func() bool { return len(sink.events) == 4 })
	require.Equal(t, uint64(5), sink.events[3].Sequence, "a lost event must leave a gap in the sequence numbers")

	sink.mu.Lock()
	sink.targetUnknown = true
	sink.mu.Unlock()
	clock.Advance(time.Second)
	sink.waitFor(t, func() bool { return len(sink.announcements) == 2 })
	engine.CrashAndRestart(false)
	sink.waitFor(t, func() bool { return len(sink.announcements) == 3 })
	require.True(t, sink.announcements[2].Stamp.After(sink.announcements[1].Stamp))
	engine.Leave()
	sink.waitFor(t, func() bool { return sink.leaves == 1 })
}

func TestPlainService_CountsRuns(t *testing.T) {
	plain, err := NewPlainService(clockwork.NewRealClock(), PlainServiceSettings{Name: "treasury-1", Service: "Treasury"})
	require.NoError(t, err)
	t.Cleanup(plain.Close)
	client := newClient(t)
	for _, id := range []string{"r-1", "r-2"} {
		response, err := client.Send(t.Context(), target.Call{
			RequestID: id, Address: plain.Address(), Service: "Treasury", Name: "Pay", IdempotencyKey: "pay-1",
		})
		require.NoError(t, err)
		_, err = response.Body(1 << 10)
		require.NoError(t, err)
		response.Close()
	}
	require.Equal(t, 2, plain.RunsByKey("pay-1"))
	require.Equal(t, 2, plain.MaxRunsPerKey())
	require.Equal(t, 1, plain.RunsByRequestID("r-1"))
}

func TestBlackhole_DropsOnlyOpenConnections(t *testing.T) {
	engine := newEngine(t, EngineSettings{})
	blackhole, err := NewBlackhole(engine.Address())
	require.NoError(t, err)
	t.Cleanup(blackhole.Close)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", blackhole.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c, bufio.NewReader(c)
	}
	sendRequest := func(c net.Conn) {
		_, err := io.WriteString(c, "GET /v1/else HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
	}
	dropped, droppedReader := dial()
	sendRequest(dropped)
	_, err = http.ReadResponse(droppedReader, nil)
	require.NoError(t, err)
	blackhole.DropOpenConnections()
	sendRequest(dropped)
	newConn, newReader := dial()
	sendRequest(newConn)
	_, err = http.ReadResponse(newReader, nil)
	require.NoError(t, err)
	require.NoError(t, dropped.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	rest, err := io.ReadAll(droppedReader)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the dropped connection must stay open")
	require.NotContains(t, string(rest), "HTTP/")
}

// A paused stream that never went on, or lost events, would make the tests of silent
// targets pass or fail for the wrong reason.
func TestEngine_PausedStreamGoesOn(t *testing.T) {
	clock := clockwork.NewFakeClock()
	engine, err := NewEngine(clock, EngineSettings{Name: "engine-1"})
	require.NoError(t, err)
	t.Cleanup(engine.Close)
	engine.Inject(Fault{Kind: FaultPaused, AfterEvents: 2, Delay: time.Second, Count: 1})
	response, err := newClient(t).Send(context.Background(), draftCall(engine, "r-1"))
	require.NoError(t, err)
	defer response.Close()
	for range 2 {
		_, err := response.Next()
		require.NoError(t, err)
	}
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	require.False(t, response.EventBuffered())
	clock.Advance(time.Second)
	for range defaultTokenCount - 2 {
		_, err := response.Next()
		require.NoError(t, err)
	}
	_, err = response.Next()
	require.ErrorIs(t, err, io.EOF)
}
