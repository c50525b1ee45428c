package web

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"time"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Sink processes the messages of targets. Its methods may be called concurrently.
type Sink interface {
	// HandleAnnouncement processes an announcement.
	HandleAnnouncement(ctx context.Context, announcement target.Announcement) error
	// HandleLoadReport processes a load report. known is false if the target must
	// announce itself again.
	HandleLoadReport(ctx context.Context, report target.LoadReport) (known bool, err error)
	// HandleCacheEvent processes a cache event. known is as for HandleLoadReport.
	HandleCacheEvent(ctx context.Context, event target.CacheEvent) (known bool, err error)
	// HandleLeave processes the message of a target that accepts no more requests.
	HandleLeave(ctx context.Context, leave target.Leave) error
}

// sinkTimeout limits how long the sink may process one message.
const sinkTimeout = 5 * time.Second

// Receiver serves the HTTP paths to which targets send their messages.
type Receiver struct {
	sink      Sink
	sharedKey string
}

// ReceiverOption configures a Receiver.
type ReceiverOption func(*Receiver)

// WithSharedKey rejects messages that do not contain the key. An empty key
// accepts all messages.
func WithSharedKey(key string) ReceiverOption {
	return func(r *Receiver) { r.sharedKey = key }
}

// NewReceiver returns a receiver that passes messages to sink.
func NewReceiver(sink Sink, options ...ReceiverOption) *Receiver {
	r := &Receiver{sink: sink}
	for _, option := range options {
		option(r)
	}
	return r
}

// replyBody is the JSON response to a message of a target.
type replyBody struct {
	// Known is false if the target must announce itself again or if the message
	// failed.
	Known bool
	Error string
}

// Handle serves one HTTP request. Unknown paths are answered with status 404.
func (r *Receiver) Handle(ctx *fasthttp.RequestCtx) {
	handle, ok := map[string]func(context.Context, []byte) (bool, error){
		PathAnnounce:    r.handleAnnouncement,
		PathLoad:        r.handleLoadReport,
		PathCacheEvents: r.handleCacheEvent,
		PathLeave:       r.handleLeave,
	}[string(ctx.Path())]
	switch {
	case !ok:
		writeReply(ctx, fasthttp.StatusNotFound, false, "unknown path")
	case !ctx.IsPost():
		writeReply(ctx, fasthttp.StatusMethodNotAllowed, false, "use POST")
	case !r.authorized(ctx):
		writeReply(ctx, fasthttp.StatusForbidden, false, "the shared key is missing or wrong")
	default:
		r.handleMessage(ctx, handle)
	}
}

// HandlesPath reports whether path is served by the receiver.
func (r *Receiver) HandlesPath(path string) bool {
	return path == PathAnnounce || path == PathLoad || path == PathCacheEvents || path == PathLeave
}

func (r *Receiver) handleMessage(ctx *fasthttp.RequestCtx, handle func(context.Context, []byte) (bool, error)) {
	bounded, cancel := context.WithTimeout(context.Background(), sinkTimeout)
	defer cancel()
	known, err := handle(bounded, ctx.PostBody())
	switch {
	case errors.Is(err, ErrInvalidMessage):
		writeReply(ctx, fasthttp.StatusBadRequest, false, err.Error())
	case err != nil:
		writeReply(ctx, fasthttp.StatusServiceUnavailable, false, err.Error())
	default:
		writeReply(ctx, fasthttp.StatusOK, known, "")
	}
}

func (r *Receiver) authorized(ctx *fasthttp.RequestCtx) bool {
	if r.sharedKey == "" {
		return true
	}
	return subtle.ConstantTimeCompare(ctx.Request.Header.Peek(HeaderSharedKey), []byte(r.sharedKey)) == 1
}

func (r *Receiver) handleAnnouncement(ctx context.Context, body []byte) (bool, error) {
	announcement, err := DecodeAnnouncement(body)
	if err != nil {
		return false, err
	}
	return true, r.sink.HandleAnnouncement(ctx, announcement)
}

func (r *Receiver) handleLoadReport(ctx context.Context, body []byte) (bool, error) {
	report, err := DecodeLoadReport(body)
	if err != nil {
		return false, err
	}
	return r.sink.HandleLoadReport(ctx, report)
}

func (r *Receiver) handleCacheEvent(ctx context.Context, body []byte) (bool, error) {
	event, err := DecodeCacheEvent(body)
	if err != nil {
		return false, err
	}
	return r.sink.HandleCacheEvent(ctx, event)
}

func (r *Receiver) handleLeave(ctx context.Context, body []byte) (bool, error) {
	leave, err := DecodeLeave(body)
	if err != nil {
		return false, err
	}
	return true, r.sink.HandleLeave(ctx, leave)
}

func writeReply(ctx *fasthttp.RequestCtx, status int, known bool, message string) {
	body, _ := json.Marshal(replyBody{Known: known, Error: message})
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}
