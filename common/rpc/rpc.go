// Package rpc transports twirp calls over fasthttp and signs them with a shared key.
//
// Every request contains its timestamp and an HMAC-SHA256 signature of path,
// timestamp and body. A request is rejected if its signature is invalid or its
// timestamp differs from the server's clock by more than the maximum skew.
//
// # Usage
//
//	client := operatorpb.NewOperatorsProtobufClient("http://127.0.0.1:7001", rpc.NewClient(key, clock))
//	handler := rpc.NewHandler(operatorpb.NewOperatorsServer(server), key, clock)
package rpc

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"comfreytiller.dev/common/head"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const (
	dateHeader      = "Comfreytiller-Date"
	signatureHeader = "Comfreytiller-Proof"
	// maxSkew is the maximum difference between a request's timestamp and the
	// server's clock.
	maxSkew = 5 * time.Minute
	// MaxBodyBytes is the maximum size in bytes of a request or response body. The
	// client enforces it for responses.
	MaxBodyBytes = 64 << 20
	// callTimeout is the timeout of calls whose context has no deadline.
	callTimeout = 2 * time.Minute
)

// Client executes net/http requests with fasthttp. It implements the HTTPClient
// interface of generated twirp clients.
type Client struct {
	key   []byte
	clock clockwork.Clock
	http  *fasthttp.Client
}

// NewClient returns a client that signs requests with key.
func NewClient(key []byte, clock clockwork.Clock) *Client {
	return &Client{
		key:   key,
		clock: clock,
		http: &fasthttp.Client{
			Dial:                          head.Dial,
			MaxResponseBodySize:           MaxBodyBytes,
			DisablePathNormalizing:        true,
			DisableHeaderNamesNormalizing: false,
			// An automatic retry could run the call twice. Callers retry with
			// the same operation ID instead.
			MaxIdemponentCallAttempts: 1,
		},
	}
}

// Do signs and executes a request.
func (c *Client) Do(request *http.Request) (*http.Response, error) {
	body, err := readBody(request)
	if err != nil {
		return nil, errors.Wrapf(err, "read request to %s", request.URL)
	}
	out := fasthttp.AcquireRequest()
	in := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	out.SetRequestURI(request.URL.String())
	out.Header.SetMethod(request.Method)
	for name, values := range request.Header {
		for _, value := range values {
			out.Header.Add(name, value)
		}
	}
	c.sign(out, body)
	out.SetBody(body)
	if err := c.http.DoDeadline(out, in, c.deadline(request)); err != nil {
		return nil, errors.Wrapf(err, "call %s", request.URL)
	}
	return toHTTPResponse(in), nil
}

func (c *Client) deadline(request *http.Request) time.Time {
	if deadline, ok := request.Context().Deadline(); ok {
		return deadline
	}
	return c.clock.Now().Add(callTimeout)
}

// sign adds the timestamp and signature headers.
func (c *Client) sign(out *fasthttp.Request, body []byte) {
	date := strconv.FormatInt(c.clock.Now().UnixNano(), 10)
	out.Header.Set(dateHeader, date)
	out.Header.Set(signatureHeader, signature(c.key, string(out.URI().Path()), date, body))
}

func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer func() { _ = request.Body.Close() }()
	return io.ReadAll(request.Body)
}

// toHTTPResponse copies a fasthttp response into a net/http response.
func toHTTPResponse(in *fasthttp.Response) *http.Response {
	header := http.Header{}
	for name, value := range in.Header.All() {
		header.Add(string(name), string(value))
	}
	body := bytes.Clone(in.Body())
	return &http.Response{
		StatusCode:    in.StatusCode(),
		Status:        strconv.Itoa(in.StatusCode()),
		Header:        header,
		ContentLength: int64(len(body)),
		Body:          io.NopCloser(bytes.NewReader(body)),
	}
}

// NewHandler returns a fasthttp handler for a twirp server. It responds with status
// 401 to requests without a valid signature.
func NewHandler(server http.Handler, key []byte, clock clockwork.Clock) fasthttp.RequestHandler {
	next := fasthttpadaptor.NewFastHTTPHandler(server)
	return func(ctx *fasthttp.RequestCtx) {
		if !hasValidSignature(ctx, key, clock) {
			ctx.Error(`{"code":"unauthenticated","msg":"the call carries no proof of the shared key"}`,
				fasthttp.StatusUnauthorized)
			ctx.SetContentType("application/json")
			return
		}
		next(ctx)
	}
}

// hasValidSignature reports whether the request has a valid signature and a
// timestamp within the maximum skew.
func hasValidSignature(ctx *fasthttp.RequestCtx, key []byte, clock clockwork.Clock) bool {
	date := string(ctx.Request.Header.Peek(dateHeader))
	sent, err := strconv.ParseInt(date, 10, 64)
	if err != nil {
		return false
	}
	skew := clock.Now().Sub(time.Unix(0, sent))
	if skew > maxSkew || skew < -maxSkew {
		return false
	}
	expected := signature(key, string(ctx.Path()), date, ctx.PostBody())
	return hmac.Equal([]byte(expected), ctx.Request.Header.Peek(signatureHeader))
}

// signature returns the hexadecimal HMAC-SHA256 of path, date and body. Each part is
// prefixed with its length, so that different splits have different signatures.
func signature(key []byte, path, date string, body []byte) string {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(path), []byte(date), body} {
		mac.Write([]byte(strconv.Itoa(len(part))))
		mac.Write([]byte{0})
		mac.Write(part)
	}
	return hex.EncodeToString(mac.Sum(nil))
}
