// Package head checks the heads of HTTP responses: the status line and the fields before
// the body. The parser of the HTTP library tolerates more than the grammar of HTTP/1
// (RFC 9112) allows, and what it tolerates can't be seen in its result.
//
// # Usage
//
//	reader := bufio.NewReader(conn)
//	if _, err := head.Peek(reader); err != nil { ... }
//	err := header.Read(reader)
//
// A client of the HTTP library, which reads its connections itself, dials with Dial:
//
//	client := &fasthttp.Client{Dial: head.Dial}
package head

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// ErrMalformed reports a head that violates the grammar of HTTP/1.
var ErrMalformed = errors.New("malformed head")

// errTooLarge reports a head that doesn't fit into the buffer of its reader.
var errTooLarge = errors.New("head exceeds the read buffer")

// Head holds the properties of a checked head.
type Head struct {
	Status int
	// Size is the length of the head in bytes, including the empty line at its end.
	Size int
	// IsFramed is set if the head has a length or a transfer coding. Otherwise only the end of the
	// connection delimits a body.
	IsFramed bool
}

// IsInterim reports whether another head follows that of the final response.
func (h Head) IsInterim() bool { return h.Status < minFinalStatus }

// mayHaveBody reports whether a body may follow the head of a response to a request that is not
// HEAD.
func (h Head) mayHaveBody() bool {
	return !h.IsInterim() && h.Status != fasthttp.StatusNoContent && h.Status != fasthttp.StatusNotModified
}

// Names of the fields that frame a body.
var (
	contentLength    = []byte(fasthttp.HeaderContentLength)
	transferEncoding = []byte(fasthttp.HeaderTransferEncoding)
)

// http11 begins the status line of the version that has transfer codings.
var http11 = []byte("HTTP/1.1 ")

// Ranges of the status code.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// Peek waits until the whole head of a response is in the buffer of r and checks it, line by line
// as it arrives. It consumes nothing. It returns ErrMalformed with the status line or the field
// name at fault, io.EOF if r ends before the head, io.ErrUnexpectedEOF if r ends within it, and
// any other error of r. Lines may end with a bare line feed, except for the last two.
func Peek(r *bufio.Reader) (Head, error) {
	var h Head
	lineEnd := ""
	for {
		// The buffered bytes can always be peeked.
		buffered, _ := r.Peek(r.Buffered())
		line, _, found := bytes.Cut(buffered[h.Size:], []byte("\n"))
		if !found {
			if err := awaitMore(r); err != nil {
				return Head{}, err
			}
			continue
		}
		isStatusLine := h.Size == 0
		h.Size += len(line) + 1
		lineEndBefore := lineEnd
		lineEnd = "\n"
		if trimmed, found := bytes.CutSuffix(line, []byte("\r")); found {
			line, lineEnd = trimmed, "\r\n"
		}
		if isStatusLine {
			status, err := parseStatusLine(line)
			if err != nil {
				return Head{}, err
			}
			h.Status = status
			continue
		}
		if len(line) == 0 {
			// The library looks for another end in the body.
			if end := lineEndBefore + lineEnd; end != "\r\n\r\n" {
				return Head{}, errors.Wrapf(ErrMalformed, "end of the head %q", end)
			}
			return h, nil
		}
		name, err := parseFieldName(line)
		if err != nil {
			return Head{}, err
		}
		// The library ignores the coding then and passes the sizes of the chunks on with the body.
		if bytes.EqualFold(name, transferEncoding) && !bytes.HasPrefix(buffered, http11) {
			return Head{}, errors.Wrapf(ErrMalformed, "field name %.80q in %s", name, buffered[:len(http11)-1])
		}
		h.IsFramed = h.IsFramed || bytes.EqualFold(name, contentLength) || bytes.EqualFold(name, transferEncoding)
	}
}

// CheckFields checks the field lines of a head, including the empty line at its end. It returns
// ErrMalformed as Peek does.
func CheckFields(lines []byte) error {
	rest, found := bytes.CutSuffix(lines, []byte("\r\n\r\n"))
	if !found {
		return errors.Wrapf(ErrMalformed, "end of the head %q", lines[max(len(lines)-4, 0):])
	}
	for line := range bytes.SplitSeq(rest, []byte("\n")) {
		if _, err := parseFieldName(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
	}
	return nil
}

// awaitMore waits until r has buffered another byte.
func awaitMore(r *bufio.Reader) error {
	buffered := r.Buffered()
	_, err := r.Peek(buffered + 1)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF) && buffered > 0:
		return io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrBufferFull):
		return errors.Wrapf(errTooLarge, "%d bytes", buffered)
	}
	return err
}

// statusLinePrefix precedes the minor version in a status line.
const statusLinePrefix = "HTTP/1."

// parseStatusLine returns the status code of a status line such as "HTTP/1.1 200 OK". The
// reason phrase and the space before it may be missing.
func parseStatusLine(line []byte) (int, error) {
	rest, found := bytes.CutPrefix(line, []byte(statusLinePrefix))
	if found && len(rest) >= len("1 200") && isDigit(rest[0]) && rest[1] == ' ' {
		status, err := strconv.Atoi(string(rest[2:5]))
		reason := rest[5:]
		isSeparated := len(reason) == 0 || reason[0] == ' '
		if err == nil && status >= minStatus && status <= maxStatus && isSeparated && isText(reason) {
			return status, nil
		}
	}
	return 0, errors.Wrapf(ErrMalformed, "status line %.80q", line)
}

// parseFieldName returns the name of a field line such as "Content-Length: 2". A line that begins
// with a space or a tab, which continues the value of the line before it in old versions of HTTP,
// is malformed, as a space or a tab before the colon is.
func parseFieldName(line []byte) ([]byte, error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return nil, errors.Wrapf(ErrMalformed, "field line %.80q without a colon", line)
	}
	if !isToken(name) {
		return nil, errors.Wrapf(ErrMalformed, "field name %.80q", name)
	}
	if !isText(value) {
		return nil, errors.Wrapf(ErrMalformed, "control byte in the value of field %.80q", name)
	}
	return name, nil
}

// isToken reports whether name is a token: one or more letters, digits and other visible bytes
// that don't delimit the parts of a head.
func isToken(name []byte) bool {
	for _, c := range name {
		isAlphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c)
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isText reports whether text has no control bytes except tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
