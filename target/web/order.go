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

// maxKVCacheBytes limits the size of an exported KV cache.
const maxKVCacheBytes = 256 << 20

// maxControlReplyBytes limits the size of the reply to an order, a cancellation
// or a cache import.
const maxControlReplyBytes = 1 << 20

// orderBody is the JSON encoding of an order.
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

// orderReplyBody is the JSON encoding of the reply to an order.
type orderReplyBody struct {
	ID      string
	State   string
	Fence   uint64
	Message string
}

// EncodeOrder encodes an order as JSON.
func EncodeOrder(o target.Order) ([]byte, error) {
	return json.Marshal(orderBody{
		ID: o.ID, Fence: o.FencingToken, Kind: string(o.Kind), Service: o.Service,
		Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: string(o.Role),
	})
}

// DecodeOrder decodes and validates an order. Its error is ErrInvalidMessage.
func DecodeOrder(data []byte) (target.Order, error) {
	var b orderBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.Order{}, errors.Wrapf(ErrInvalidMessage, "order: %v", err)
	}
	o := target.Order{
		ID: b.ID, FencingToken: b.Fence, Kind: target.OrderKind(b.Kind), Service: b.Service,
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

// EncodeOrderReply encodes the reply to an order as JSON.
func EncodeOrderReply(r target.OrderReply) ([]byte, error) {
	return json.Marshal(orderReplyBody{ID: r.ID, State: string(r.State), Fence: r.FencingToken, Message: r.Message})
}

// DecodeOrderReply decodes and validates the reply to an order. Its error is
// ErrInvalidMessage.
func DecodeOrderReply(data []byte) (target.OrderReply, error) {
	var b orderReplyBody
	if err := json.Unmarshal(data, &b); err != nil {
		return target.OrderReply{}, errors.Wrapf(ErrInvalidMessage, "order reply: %v", err)
	}
	r := target.OrderReply{ID: b.ID, State: target.OrderState(b.State), FencingToken: b.Fence, Message: b.Message}
	switch r.State {
	case target.OrderAccepted, target.OrderDone, target.OrderRefused, target.OrderFailed:
		return r, nil
	}
	return r, errors.Wrapf(ErrInvalidMessage, "State %q of order reply is unknown", b.State)
}

// SendOrder sends an order to the target at address. Sending is idempotent, since
// the target identifies an order by its ID. A failure to send is a
// *target.SendError.
func (c *Client) SendOrder(ctx context.Context, address string, order target.Order) (target.OrderReply, error) {
	body, err := EncodeOrder(order)
	if err != nil {
		return target.OrderReply{}, errors.Wrap(err, "encode order")
	}
	data, err := c.sendControlRequest(ctx, address, fasthttp.MethodPost, PathOrders, body, maxControlReplyBytes)
	if err != nil {
		return target.OrderReply{}, err
	}
	reply, err := DecodeOrderReply(data)
	if err == nil && reply.ID != order.ID {
		err = errors.Wrapf(target.ErrRequestMismatch, "reply to order %q", reply.ID)
	}
	return reply, err
}

// ExportCache downloads the KV cache of a chat from the target at address.
func (c *Client) ExportCache(ctx context.Context, address, chat string) ([]byte, error) {
	return c.sendControlRequest(ctx, address, fasthttp.MethodGet, PathCache+url.PathEscape(chat), nil, maxKVCacheBytes)
}

// ImportCache uploads the KV cache of a chat to the target at address.
func (c *Client) ImportCache(ctx context.Context, address, chat string, cache []byte) error {
	_, err := c.sendControlRequest(ctx, address, fasthttp.MethodPost, PathCache+url.PathEscape(chat), cache, maxControlReplyBytes)
	return err
}

// Cancel asks the target at address to stop the given attempt of a request and
// earlier ones. Later attempts continue. Cancel does nothing if the dialect does
// not support it.
func (c *Client) Cancel(ctx context.Context, address, requestID string, attempt int) error {
	if !c.dialect.SupportsCancel() {
		return nil
	}
	path := PathCancel + url.PathEscape(requestID) + "/" + strconv.Itoa(attempt)
	_, err := c.sendControlRequest(ctx, address, fasthttp.MethodPost, path, nil, maxControlReplyBytes)
	return err
}

// sendControlRequest sends one request over a new connection and returns the
// whole response body. Any status other than 200 is an ErrUnexpectedStatus.
func (c *Client) sendControlRequest(ctx context.Context, address, method, path string, body []byte, limit int) ([]byte, error) {
	ctx, cancel := contextWithTimeout(ctx, c.clock, c.orderTimeout)
	defer cancel()
	conn, err := c.acquireConn(ctx, address, true)
	if err != nil {
		return nil, &target.SendError{Err: err}
	}
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetContentType(contentTypeJSON)
	id := "control-" + method + path
	request.Header.Set(HeaderRequestID, id)
	request.SetBodyRaw(body)
	call := target.Call{RequestID: id, Address: address, GapTimeout: time.Minute}
	response, err := c.roundTrip(ctx, conn, request, call, nativeDialect{})
	if err != nil {
		return nil, &target.SendError{Sent: true, Err: err}
	}
	defer response.Close()
	data, err := response.Body(limit)
	if err != nil {
		return nil, &target.SendError{Sent: true, Err: err}
	}
	if response.header.Status != fasthttp.StatusOK {
		return nil, errors.Wrapf(ErrUnexpectedStatus, "%d: %.200s", response.header.Status, data)
	}
	return data, nil
}

// ErrUnexpectedStatus reports a response whose status is not 200.
var ErrUnexpectedStatus = errors.New("unexpected status")
