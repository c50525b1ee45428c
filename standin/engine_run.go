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

// errStreamStopped terminates a stream without its last chunk.
var errStreamStopped = errors.New("stream stopped")

// engineRun is one request on an engine. It is the reader of the response body.
type engineRun struct {
	engine        *Engine
	requestID     string
	chat          string
	seed          uint64
	priority      int
	attempt       int
	stream        bool
	tokenCount    int
	fault         Fault
	firstByte     time.Duration
	tokenInterval time.Duration
	warm          bool
	hasSlot       bool
	ended         bool

	nextOffset        int
	firstTokenStarted bool
	endEventSent      bool
	pending           []byte

	canceled   chan struct{}
	cancelOnce sync.Once
}

func newRun(e *Engine, ctx *fasthttp.RequestCtx) *engineRun {
	header := &ctx.Request.Header
	body := ctx.PostBody()
	priority, _ := strconv.Atoi(string(header.Peek(web.HeaderPriority)))
	attempt, _ := strconv.Atoi(string(header.Peek(web.HeaderAttempt)))
	offset, _ := strconv.Atoi(string(header.Peek(web.HeaderOffset)))
	return &engineRun{
		engine: e, requestID: string(header.Peek(web.HeaderRequestID)), chat: string(header.Peek(web.HeaderChat)),
		seed: tokenSeed(body), priority: priority, attempt: attempt, nextOffset: offset,
		stream:     strings.Contains(string(header.Peek(fasthttp.HeaderAccept)), "text/event-stream"),
		tokenCount: requestedTokenCount(body, e.settings.DefaultTokens),
		fault:      e.faults.pop(), tokenInterval: e.settings.TokenInterval, canceled: make(chan struct{}),
	}
}

// timeToFirstByte returns the delay of the first token. The caller holds mu.
func (e *Engine) timeToFirstByte(warm bool) time.Duration {
	switch {
	case e.cold:
		return e.settings.ColdFirstByte
	case warm:
		return e.settings.WarmFirstByte
	}
	return e.settings.FirstByte
}

// cancel cancels the run; it may be called more than once.
func (r *engineRun) cancel() { r.cancelOnce.Do(func() { close(r.canceled) }) }

// responseRequestID returns the request ID for the response header.
func (r *engineRun) responseRequestID() string {
	if r.fault.Kind == FaultRequestMismatch && r.fault.AfterEvents == 0 {
		return "other-" + r.requestID
	}
	return r.requestID
}

// Read reads the event stream. It waits for the time of the next token.
func (r *engineRun) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		if err := r.fillPending(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// fillPending sets pending to the next event. It returns io.EOF after the end
// event.
func (r *engineRun) fillPending() error {
	if r.endEventSent {
		r.engine.endRun(r, true)
		return io.EOF
	}
	endless := r.fault.Kind == FaultEndless
	if r.nextOffset < r.tokenCount || endless {
		if !r.waitForToken(r.nextOffset) {
			return errStreamStopped
		}
		if err := r.applyFault(); err != nil {
			return err
		}
		r.pending = r.appendTokenEvent(r.pending[:0])
		r.nextOffset++
		return nil
	}
	if r.fault.Kind == FaultMissingEnd {
		r.engine.endRun(r, false)
		return io.EOF
	}
	r.endEventSent = true
	r.pending = r.appendEndEvent(r.pending[:0])
	return nil
}

// applyFault returns the error that the injected fault causes at the next event.
func (r *engineRun) applyFault() error {
	if r.nextOffset < r.fault.AfterEvents {
		return nil
	}
	switch r.fault.Kind {
	case FaultConnectionClosed:
		return errStreamStopped
	case FaultMissingEnd:
		r.engine.endRun(r, false)
		return io.EOF
	case FaultStalled:
		select {
		case <-r.canceled:
		case <-r.engine.done:
		}
		return errStreamStopped
	case FaultPaused:
		if r.nextOffset == r.fault.AfterEvents && !r.wait(r.fault.Delay) {
			return errStreamStopped
		}
	}
	return nil
}

func (r *engineRun) appendTokenEvent(dst []byte) []byte {
	id := r.requestID
	if r.fault.Kind == FaultRequestMismatch && r.nextOffset >= r.fault.AfterEvents {
		id = "other-" + r.requestID
	}
	data := appendTokenData(nil, token(r.seed, r.nextOffset))
	dst = web.AppendEvent(dst, web.EventID(id, r.nextOffset), "token", data)
	if r.fault.Kind == FaultDuplicate {
		dst = append(dst, dst...)
	}
	return dst
}

func (r *engineRun) appendEndEvent(dst []byte) []byte {
	data, _ := json.Marshal(struct {
		Request string
		Events  int
		Warm    bool
	}{r.requestID, r.tokenCount, r.warm})
	return web.AppendEvent(dst, web.EventID(r.requestID, r.tokenCount), web.EndEventName, data)
}

// waitForToken waits for the time of the next token. It returns false if the run
// was canceled or the engine closed.
func (r *engineRun) waitForToken(offset int) bool {
	wait := r.tokenInterval
	if !r.firstTokenStarted {
		wait = r.firstByte
		if r.fault.Kind == FaultDelayed {
			wait += r.fault.Delay
		}
		r.firstTokenStarted = true
	}
	if wait <= 0 || offset < 0 {
		select {
		case <-r.canceled:
			return false
		default:
			return true
		}
	}
	return r.wait(wait)
}

// wait waits for d. It returns false if the run was canceled or the engine closed.
func (r *engineRun) wait(d time.Duration) bool {
	timer := r.engine.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-r.canceled:
	case <-r.engine.done:
	}
	return false
}

// readEvents returns the text of the whole stream, or that of the events before the
// fault and errStreamStopped.
func (r *engineRun) readEvents() ([]byte, error) {
	var text []byte
	for {
		if r.fault.AfterEvents > 0 && r.nextOffset >= r.fault.AfterEvents {
			return text, errStreamStopped
		}
		if err := r.fillPending(); err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return text, err
		}
		text = append(text, r.pending...)
	}
}

// Close ends the run. The HTTP server calls it when the response has been written
// or its connection is closed.
func (r *engineRun) Close() error {
	r.engine.endRun(r, false)
	return nil
}
