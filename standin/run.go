package standin

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreytiller.dev/target/web"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// errStopped ends a stream without its last chunk.
var errStopped = errors.New("stream stopped")

// run is one request on an engine; it is read as the body of the answer.
type run struct {
	engine    *Engine
	id        string
	chat      string
	seed      uint64
	priority  int
	attempt   int
	stream    bool
	length    int
	fault     Fault
	firstByte time.Duration
	gap       time.Duration
	warm      bool
	slot      bool
	ended     bool

	next    int
	started bool
	sentEnd bool
	pending []byte

	done     chan struct{}
	stopping sync.Once
}

func newRun(e *Engine, ctx *fasthttp.RequestCtx) *run {
	header := &ctx.Request.Header
	body := ctx.PostBody()
	priority, _ := strconv.Atoi(string(header.Peek(web.HeaderPriority)))
	attempt, _ := strconv.Atoi(string(header.Peek(web.HeaderAttempt)))
	offset, _ := strconv.Atoi(string(header.Peek(web.HeaderOffset)))
	return &run{
		engine: e, id: string(header.Peek(web.HeaderRequestID)), chat: string(header.Peek(web.HeaderChat)),
		seed: promptHash(body), priority: priority, attempt: attempt, next: offset,
		stream: strings.Contains(string(header.Peek(fasthttp.HeaderAccept)), "text/event-stream"),
		length: promptLength(body, e.settings.DefaultTokens),
		fault:  e.faults.take(), gap: e.settings.TokenInterval, done: make(chan struct{}),
	}
}

// firstByte returns the time to the first token. The lock is held.
func (e *Engine) firstByte(warm bool) time.Duration {
	switch {
	case e.cold:
		return e.settings.ColdFirstByte
	case warm:
		return e.settings.WarmFirstByte
	}
	return e.settings.FirstByte
}

// cancel stops the run.
func (r *run) cancel() { r.stopping.Do(func() { close(r.done) }) }

// headerID is the request id that the answer names.
func (r *run) headerID() string {
	if r.fault.Kind == FaultRequestMismatch && r.fault.AfterEvents == 0 {
		return "other-" + r.id
	}
	return r.id
}

// Read returns the next event of the stream.
func (r *run) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		if err := r.produce(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// produce prepares the next event.
func (r *run) produce() error {
	if r.sentEnd {
		r.engine.end(r, true)
		return io.EOF
	}
	endless := r.fault.Kind == FaultEndless
	if r.next < r.length || endless {
		if !r.pause(r.next) {
			return errStopped
		}
		if err := r.fail(); err != nil {
			return err
		}
		r.pending = r.event(r.pending[:0])
		r.next++
		return nil
	}
	if r.fault.Kind == FaultMissingEnd {
		r.engine.end(r, false)
		return io.EOF
	}
	r.sentEnd = true
	r.pending = r.endMark(r.pending[:0])
	return nil
}

// fail returns what the run's fault does at this event.
func (r *run) fail() error {
	if r.next < r.fault.AfterEvents {
		return nil
	}
	switch r.fault.Kind {
	case FaultConnectionClosed:
		return errStopped
	case FaultMissingEnd:
		r.engine.end(r, false)
		return io.EOF
	case FaultStalled:
		select {
		case <-r.done:
		case <-r.engine.done:
		}
		return errStopped
	}
	return nil
}

func (r *run) event(dst []byte) []byte {
	id := r.id
	if r.fault.Kind == FaultRequestMismatch && r.next >= r.fault.AfterEvents {
		id = "other-" + r.id
	}
	data := appendToken(nil, token(r.seed, r.next))
	dst = web.AppendEvent(dst, web.EventID(id, r.next), "token", data)
	if r.fault.Kind == FaultDuplicate {
		dst = append(dst, dst...)
	}
	return dst
}

func (r *run) endMark(dst []byte) []byte {
	data, _ := json.Marshal(struct {
		Request string
		Events  int
		Warm    bool
	}{r.id, r.length, r.warm})
	return web.AppendEvent(dst, web.EventID(r.id, r.length), web.EndEventName, data)
}

// pause waits for the time of the next token; it reports false when the run was
// stopped.
func (r *run) pause(offset int) bool {
	wait := r.gap
	if !r.started {
		wait = r.firstByte
		if r.fault.Kind == FaultDelayed {
			wait += r.fault.Delay
		}
		r.started = true
	}
	if wait <= 0 || offset < 0 {
		select {
		case <-r.done:
			return false
		default:
			return true
		}
	}
	timer := r.engine.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-r.done:
	case <-r.engine.done:
	}
	return false
}

// Close is called when the answer has been written or its connection is lost.
func (r *run) Close() error {
	r.engine.end(r, false)
	return nil
}
