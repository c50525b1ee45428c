package intake

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// firstBodyBytes is the first size of the buffer of a body. The server has read as many bytes
// of a body with a length before it calls the handler.
const firstBodyBytes = 8 << 10

// keptFields is the number of header fields whose memory a server keeps for later requests.
const keptFields = 64

// Accounted is a connection of a server that accounts for it.
type Accounted interface{ Accounting() *Conn }

// BodyReader reads the bodies of requests. The server must have StreamRequestBody set.
type BodyReader struct {
	// excessive has the headers whose bodies are declared larger than the limit.
	excessive sync.Map
}

// CheckLength makes the server not wait for a body that is declared larger than the limit. It is
// called when the header has been received.
func (r *BodyReader) CheckLength(header *fasthttp.RequestHeader, limit int) {
	if header.ContentLength() <= limit {
		return
	}
	r.excessive.Store(header, nil)
	header.Del(fasthttp.HeaderExpect)
	header.SetContentLength(0)
}

// Read reads the body of a request, which ctx.PostBody then returns. After an error, the
// connection can't be used for further requests.
func (r *BodyReader) Read(ctx *fasthttp.RequestCtx, limit int) error {
	if _, isExcessive := r.excessive.LoadAndDelete(&ctx.Request.Header); isExcessive {
		return r.fail(ctx, fasthttp.ErrBodyTooLarge)
	}
	conn := accounting(ctx)
	if stream := ctx.Request.BodyStream(); stream != nil {
		if conn != nil {
			conn.isChunked = ctx.Request.Header.ContentLength() < 0
		}
		body, err := readBody(stream, conn, ctx.Request.Header.ContentLength(), limit)
		if err == nil && conn != nil && conn.Shed() {
			err = ErrShort
		}
		if err != nil {
			return r.fail(ctx, err)
		}
		ctx.Request.SetBodyRaw(body)
	}
	if conn != nil {
		if err := conn.beginServing(); err != nil {
			return r.fail(ctx, err)
		}
	}
	return nil
}

// fail prepares the refusal of a request.
func (r *BodyReader) fail(ctx *fasthttp.RequestCtx, err error) error {
	ctx.SetConnectionClose()
	conn := accounting(ctx)
	if conn == nil {
		return err
	}
	conn.linger()
	if conn.Shed() {
		return ErrShort
	}
	return err
}

// accounting returns what accounts for the connection of a request; nil if nothing does.
func accounting(ctx *fasthttp.RequestCtx) *Conn {
	if accounted, ok := ctx.Conn().(Accounted); ok {
		return accounted.Accounting()
	}
	return nil
}

// Refused reports whether the request was refused because memory is short, and makes the
// connection close without losing the response.
func Refused(ctx *fasthttp.RequestCtx) bool {
	conn := accounting(ctx)
	if conn == nil {
		return false
	}
	conn.linger()
	return conn.Shed()
}

// DropFields returns the memory of a head with many fields, which the server would keep. It is
// called once the header of the request is no longer needed.
func DropFields(ctx *fasthttp.RequestCtx) {
	if ctx.Request.Header.Len() > keptFields {
		ctx.Request.Header = fasthttp.RequestHeader{}
	}
}

// beginServing begins the phase in which the request is not shed any more.
func (c *Conn) beginServing() error {
	if err := c.Enter(Serving); err != nil {
		return err
	}
	if c.holding.wasShed() {
		return ErrShort
	}
	return nil
}

// readBody reads a body into a buffer that grows with the bytes that have arrived.
func readBody(stream io.Reader, conn *Conn, length, limit int) ([]byte, error) {
	most := limit + 1
	if length >= 0 {
		most = length
	}
	body, err := grow(nil, conn, min(firstBodyBytes, max(most, 1)))
	if err != nil {
		return nil, err
	}
	for {
		if len(body) == cap(body) {
			if len(body) >= most {
				most = max(most, len(body)+1)
			}
			if body, err = grow(body, conn, min(2*cap(body), most)); err != nil {
				return nil, err
			}
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if conn != nil && n > 0 {
			conn.progressed()
		}
		switch {
		case len(body) > limit:
			err = fasthttp.ErrBodyTooLarge
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && len(body) < length:
			err = io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, nil
		}
		if conn != nil {
			conn.holding.release(cap(body))
		}
		return nil, err
	}
}

// grow returns a larger buffer with the same bytes.
func grow(body []byte, conn *Conn, size int) ([]byte, error) {
	if conn != nil {
		if err := conn.holding.take(size, maxBodyWait); err != nil {
			conn.refuse()
			conn.holding.release(cap(body))
			return nil, err
		}
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	if conn != nil {
		conn.holding.release(cap(body))
	}
	return larger, nil
}
