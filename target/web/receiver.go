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

// Sink takes what targets send. Its methods may be called at the same time.
type Sink interface {
	// HandleAnnouncement takes an announcement.
	HandleAnnouncement(ctx context.Context, announcement target.Announcement) error
	// HandleLoadReport takes a load report; known is false when the target must announce
	// itself again.
	HandleLoadReport(ctx context.Context, report target.LoadReport) (known bool, err error)
	// HandleCacheEvent takes a cache event; known is as for Load.
	HandleCacheEvent(ctx context.Context, event target.CacheEvent) (known bool, err error)
	// HandleLeave takes a leave.
	HandleLeave(ctx context.Context, leave target.Leave) error
}

// sinkTimeout bounds one message's way through the sink.
const sinkTimeout = 5 * time.Second

// Receiver serves the paths to which targets send their messages.
type Receiver struct {
	sink      Sink
	sharedKey string
}

// ReceiverOption changes a receiver.
type ReceiverOption func(*Receiver)

// WithSharedKey refuses messages that do not carry the key.
func WithSharedKey(key string) ReceiverOption {
	return func(r *Receiver) { r.sharedKey = key }
}

// NewReceiver returns a receiver that gives messages to sink.
func NewReceiver(sink Sink, options ...ReceiverOption) *Receiver {
	r := &Receiver{sink: sink}
	for _, option := range options {
		option(r)
	}
	return r
}

// replyBody answers a message of a target.
type replyBody struct {
	// Known is false when the target must announce itself again.
	Known bool
	Error string
}

// Handle serves one message. It reports 404 for other paths.
func (r *Receiver) Handle(ctx *fasthttp.RequestCtx) {
	handle, ok := map[string]func(context.Context, []byte) (bool, error){
		PathAnnounce:    r.announce,
		PathLoad:        r.load,
		PathCacheEvents: r.cache,
		PathLeave:       r.leave,
	}[string(ctx.Path())]
	switch {
	case !ok:
		reply(ctx, fasthttp.StatusNotFound, false, "unknown path")
	case !ctx.IsPost():
		reply(ctx, fasthttp.StatusMethodNotAllowed, false, "use POST")
	case !r.trusted(ctx):
		reply(ctx, fasthttp.StatusForbidden, false, "the shared key is missing or wrong")
	default:
		r.serve(ctx, handle)
	}
}

// HandlesPath reports whether path belongs to the receiver.
func (r *Receiver) HandlesPath(path string) bool {
	return path == PathAnnounce || path == PathLoad || path == PathCacheEvents || path == PathLeave
}

func (r *Receiver) serve(ctx *fasthttp.RequestCtx, handle func(context.Context, []byte) (bool, error)) {
	bounded, cancel := context.WithTimeout(context.Background(), sinkTimeout)
	defer cancel()
	known, err := handle(bounded, ctx.PostBody())
	switch {
	case errors.Is(err, ErrInvalidMessage):
		reply(ctx, fasthttp.StatusBadRequest, false, err.Error())
	case err != nil:
		reply(ctx, fasthttp.StatusServiceUnavailable, false, err.Error())
	default:
		reply(ctx, fasthttp.StatusOK, known, "")
	}
}

func (r *Receiver) trusted(ctx *fasthttp.RequestCtx) bool {
	if r.sharedKey == "" {
		return true
	}
	return subtle.ConstantTimeCompare(ctx.Request.Header.Peek(HeaderSharedKey), []byte(r.sharedKey)) == 1
}

func (r *Receiver) announce(ctx context.Context, body []byte) (bool, error) {
	announcement, err := DecodeAnnouncement(body)
	if err != nil {
		return false, err
	}
	return true, r.sink.HandleAnnouncement(ctx, announcement)
}

func (r *Receiver) load(ctx context.Context, body []byte) (bool, error) {
	report, err := DecodeLoadReport(body)
	if err != nil {
		return false, err
	}
	return r.sink.HandleLoadReport(ctx, report)
}

func (r *Receiver) cache(ctx context.Context, body []byte) (bool, error) {
	event, err := DecodeCacheEvent(body)
	if err != nil {
		return false, err
	}
	return r.sink.HandleCacheEvent(ctx, event)
}

func (r *Receiver) leave(ctx context.Context, body []byte) (bool, error) {
	leave, err := DecodeLeave(body)
	if err != nil {
		return false, err
	}
	return true, r.sink.HandleLeave(ctx, leave)
}

func reply(ctx *fasthttp.RequestCtx, status int, known bool, message string) {
	body, _ := json.Marshal(replyBody{Known: known, Error: message})
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(body)
}
