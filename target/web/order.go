package web

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// maxCacheBytes bounds an exported KV cache.
const maxCacheBytes = 256 << 20

// maxReplyBytes bounds the reply to an order.
const maxReplyBytes = 1 << 20

// orderBody is an order on the wire.
type orderBody struct {
	ID       string
	Fence    uint64
	Kind     string
	Service  string
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// orderReplyBody is the reply to an order on the wire.
type orderReplyBody struct {
	ID      string
	State   string
	Fence   uint64
	Message string
}

// EncodeOrder writes an order as JSON.
func EncodeOrder(o target.Order) ([]byte, error) {
	return json.Marshal(orderBody{
		ID: o.ID, Fence: o.Fence, Kind: string(o.Kind), Service: o.Service,
		Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: string(o.Role),
	})
}

// DecodeOrder reads an order and checks its fields.
func DecodeOrder(data []byte) (target.Order, error) {
	var b orderBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.Order{}, errors.Wrapf(ErrInvalidMessage, "order: %v", err)
	}
	o := target.Order{
		ID: b.ID, Fence: b.Fence, Kind: target.OrderKind(b.Kind), Service: b.Service,
		Model: b.Model, Version: b.Version, Adapters: b.Adapters, Role: target.Role(b.Role),
	}
	if o.ID == "" {
		return o, errors.Wrap(ErrInvalidMessage, "order without ID")
	}
	switch o.Kind {
	case target.OrderLoadModel, target.OrderChangeRole, target.OrderUnload:
		return o, nil
	}
	return o, errors.Wrapf(ErrInvalidMessage, "Kind %q is none of LoadModel, ChangeRole, Unload", o.Kind)
}

// EncodeOrderReply writes the reply to an order as JSON.
func EncodeOrderReply(r target.OrderReply) ([]byte, error) {
	return json.Marshal(orderReplyBody{ID: r.ID, State: string(r.State), Fence: r.Fence, Message: r.Message})
}

// DecodeOrderReply reads the reply to an order.
func DecodeOrderReply(data []byte) (target.OrderReply, error) {
	var b orderReplyBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.OrderReply{}, errors.Wrapf(ErrInvalidMessage, "order reply: %v", err)
	}
	r := target.OrderReply{ID: b.ID, State: target.OrderState(b.State), Fence: b.Fence, Message: b.Message}
	switch r.State {
	case target.OrderAccepted, target.OrderDone, target.OrderRefused, target.OrderFailed:
		return r, nil
	}
	return r, errors.Wrapf(ErrInvalidMessage, "order state %q", b.State)
}

// SendOrder gives an order to the target at address. The same order may be sent
// again: a target knows it by its ID. The error is a *target.SendError.
func (c *Client) SendOrder(ctx context.Context, address string, order target.Order) (target.OrderReply, error) {
	body, err := EncodeOrder(order)
	if err != nil {
		return target.OrderReply{}, errors.Wrap(err, "encode order")
	}
	data, err := c.simple(ctx, address, fasthttp.MethodPost, PathOrders, body, maxReplyBytes)
	if err != nil {
		return target.OrderReply{}, err
	}
	reply, err := DecodeOrderReply(data)
	if err == nil && reply.ID != order.ID {
		err = errors.Wrapf(target.ErrCrossed, "reply to order %q", reply.ID)
	}
	return reply, err
}

// ExportCache fetches the KV cache of a chat from the target at address.
func (c *Client) ExportCache(ctx context.Context, address, chat string) ([]byte, error) {
	return c.simple(ctx, address, fasthttp.MethodGet, PathCache+url.PathEscape(chat), nil, maxCacheBytes)
}

// ImportCache gives the KV cache of a chat to the target at address.
func (c *Client) ImportCache(ctx context.Context, address, chat string, cache []byte) error {
	_, err := c.simple(ctx, address, fasthttp.MethodPost, PathCache+url.PathEscape(chat), cache, maxReplyBytes)
	return err
}

// Cancel tells the target at address to stop a request, unless it was sent
// again by a later attempt.
func (c *Client) Cancel(ctx context.Context, address, requestID string, attempt int) error {
	if !c.dialect.SupportsCancel() {
		return nil
	}
	path := PathCancel + url.PathEscape(requestID) + "/" + strconv.Itoa(attempt)
	_, err := c.simple(ctx, address, fasthttp.MethodPost, path, nil, maxReplyBytes)
	return err
}

// simple exchanges one request with a whole answer over a fresh connection.
func (c *Client) simple(ctx context.Context, address, method, path string, body []byte, limit int) ([]byte, error) {
	ctx, cancel := clockworkTimeout(ctx, c.clock, c.orderBudget)
	defer cancel()
	l, err := c.link(ctx, address, true)
	if err != nil {
		return nil, &target.SendError{Err: err}
	}
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentType(contentJSON)
	id := "control-" + method + path
	request.Header.Set(HeaderRequestID, id)
	request.SetBodyRaw(body)
	call := target.Call{RequestID: id, Address: address, Gap: time.Minute}
	answer, err := c.exchange(ctx, l, request, call, native{})
	if err != nil {
		return nil, &target.SendError{Sent: true, Err: err}
	}
	defer answer.Close()
	data, err := answer.Body(limit)
	if err != nil {
		return nil, &target.SendError{Sent: true, Err: err}
	}
	if answer.header.Status != fasthttp.StatusOK {
		return nil, errors.Wrapf(ErrUnexpectedStatus, "%d: %.200s", answer.header.Status, data)
	}
	return data, nil
}

// ErrUnexpectedStatus reports an answer with another status than 200.
var ErrUnexpectedStatus = errors.New("unexpected status")
