package head

import (
	"bufio"
	"io"
	"net/textproto"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// peekBytes is like Peek for a reader that returns step bytes at a time.
func peekBytes(data string, step int) (Head, error) {
	return Peek(bufio.NewReaderSize(&stepReader{strings.NewReader(data), step}, 4096))
}

// stepReader limits reads to step bytes.
type stepReader struct {
	io.Reader
	step int
}

func (r *stepReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), r.step)]) }

// The library returns 200 for status 000 and skips spaces before a status.
func TestPeek_StatusLine(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.0 404 Not Found": 404, "HTTP/1.9 204 ": 204,
		"HTTP/1.1 100 Continue": 100, "HTTP/1.1 599 \tTabs and b\xfctes\x80": 599, "HTTP/1.1 200  OK": 200,
		"HTTP/1.1 000 Odd": 0, "HTTP/1.1 000": 0, "HTTP/1.1 000 ": 0, "HTTP/1.1 001 Odd": 0, "HTTP/1.1 099 Odd": 0, "HTTP/1.1 600 Odd": 0,
		"HTTP/1.1 999 Odd": 0, "HTTP/1.1 -00 Odd": 0, "HTTP/1.1 20 OK": 0, "HTTP/1.1 2000 OK": 0, "HTTP/1.1 2x0 OK": 0, "HTTP/1.1 ": 0,
		"HTTP/1.1": 0, "HTTP/1.": 0, "HTTP/": 0, "": 0, "HTTP/1.1  200 OK": 0, "HTTP/1.1\t200 OK": 0, "HTTP/1.1 200\tOK": 0, "HTTP/1.1200 OK": 0,
		"HTTP/9.9 200 OK": 0, "HTTP/2.0 200 OK": 0, "HTTP/1 200 OK": 0, "HTTP/1.10 200 OK": 0, "HTTP/1.x 200 OK": 0, "http/1.1 200 OK": 0,
		" HTTP/1.1 200 OK": 0, "ICY 200 OK": 0, "HTTP/1.1 200 O\x00K": 0, "HTTP/1.1 200 O\x7fK": 0, "HTTP/1.1 200 O\rK": 0,
	} {
		for _, lineEnd := range []string{"\r\n", "\n"} {
			for _, step := range []int{1, 4096} {
				text := line + lineEnd + "Content-Length: 2\r\n\r\n"
				head, err := peekBytes(text+"ok", step)
				if status == 0 {
					require.ErrorIs(t, err, ErrMalformed, text)
					require.ErrorContains(t, err, strconv.Quote(line))
					continue
				}
				require.NoError(t, err, text)
				require.Equal(t, Head{Status: status, Size: len(text), IsFramed: true}, head)
			}
		}
	}
}

// A line is checked as soon as it has arrived: the rest of the head may never come.
func TestPeek_ChecksLinesAsTheyArrive(t *testing.T) {
	reader := io.MultiReader(strings.NewReader("HTTP/1.1 000 Odd\r\n"), iotest.ErrReader(io.ErrNoProgress))
	_, err := Peek(bufio.NewReader(reader))
	require.ErrorIs(t, err, ErrMalformed)
}

// The library passes a name with a space on, reads a name without the space or tab behind
// it, and joins a line that begins with one to the line before it.
func TestPeek_FieldLine(t *testing.T) {
	sound := []string{"A:", "A:b", "A: b", "A:\tb c\t", "a-b_c.1: x", "!#$%&'*+-.^_`|~09azAZ: x", "A: caf\xe9 \x80\xff", "A: b:c", "A::"}
	malformed := map[string]string{
		" ": " ", "\t": "\t", " A: b": " A", "\tA: b": "\tA", " folded": " folded", ": b": "", ":": "", "A": "A", "A b": "A b", "A B: c": "A B", "A : b": "A ", "A\t: b": "A\t",
		"A: \x00": "A", "A: b\x7f": "A", "A: b\rc": "A", "A: b\r": "A", "A: \x1f": "A",
	}
	for b := range 0x100 {
		c := byte(b)
		isTokenByte := strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) || c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
		if c != '\n' && c != ':' && !isTokenByte {
			for _, name := range []string{string([]byte{c}), string([]byte{'A', c}), string([]byte{c, 'A'}), string([]byte{'A', c, 'B'})} {
				malformed[name+": b"] = name
			}
		}
	}
	for _, lineEnd := range []string{"\r\n", "\n"} {
		for _, step := range []int{1, 4096} {
			for _, before := range []string{"", "A: b" + lineEnd} {
				for _, line := range sound {
					_, err := peekBytes("HTTP/1.1 200 OK"+lineEnd+before+line+lineEnd+"Z: z\r\n\r\n", step)
					require.NoError(t, err, "%q", line)
				}
				for line, name := range malformed {
					if line == "A: b\r" && lineEnd == "\n" {
						continue
					}
					_, err := peekBytes("HTTP/1.1 200 OK"+lineEnd+before+line+lineEnd+"Z: z\r\n\r\n", step)
					require.ErrorIs(t, err, ErrMalformed, "%q", line)
					require.ErrorContains(t, err, strconv.Quote(name))
				}
			}
		}
	}
}

// The library ends a head at an empty line with a bare line feed only if two ends of lines
// follow anywhere, also in the body, and waits otherwise.
func TestPeek_BareLineFeedAtEnd(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\n\n", "HTTP/1.1 200 OK\r\n\n", "HTTP/1.1 200 OK\n\r\n", "HTTP/1.1 200 OK\r\nA: b\n\n", "HTTP/1.1 200 OK\r\nA: b\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n\n", "HTTP/1.1 200 OK\nA: b\n\nC: d\r\n\r\n",
	} {
		_, err := peekBytes(text, 4096)
		require.ErrorIs(t, err, ErrMalformed, "%q", text)
	}
	head, err := peekBytes("HTTP/1.1 200 OK\nA: b\nC: d\r\n\r\nbody", 4096)
	require.NoError(t, err)
	require.Equal(t, len("HTTP/1.1 200 OK\nA: b\nC: d\r\n\r\n"), head.Size)
}

func TestPeek_IsFramed(t *testing.T) {
	for fields, want := range map[string]bool{
		"": false, "Content-Length: 0\r\n": true, "content-length:1\r\nA: b\r\n": true, "A: b\r\nTransfer-Encoding: chunked\r\n": true,
		"Content-Type: text/plain\r\nConnection: close\r\n": false, "X-Content-Length: 1\r\n": false,
	} {
		head, err := peekBytes("HTTP/1.1 200 OK\r\n"+fields+"\r\n", 1)
		require.NoError(t, err)
		require.Equal(t, want, head.IsFramed, fields)
	}
}

// The library ignores the transfer coding of another version than HTTP/1.1, so that a reader got
// the sizes of the chunks in the body.
func TestPeek_TransferCodingOfOtherVersion(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2", "HTTP/1.9"} {
		for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding: identity", "Transfer-Encoding:", "Content-Length: 1\r\nTransfer-Encoding: chunked"} {
			_, err := peekBytes(version+" 200 OK\r\n"+field+"\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1)
			require.ErrorIs(t, err, ErrMalformed, "%s %q", version, field)
			require.ErrorContains(t, err, version)
		}
	}
	head, err := peekBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 1)
	require.NoError(t, err)
	require.True(t, head.IsFramed)
}

// The fields of requests are checked as those of responses are.
func TestCheckFields(t *testing.T) {
	for lines, valid := range map[string]bool{
		"Host: a\r\n\r\n": true, "Host: a\r\nA:\r\nB: \tb\x80 \r\n\r\n": true, "Host: a\nB: c\r\n\r\n": true,
		"": false, "\r\n": false, "Host: a\r\n": false, "Host: a\r\n\n": false, "Host: a\n\n": false, "Host: a\n\r\n": false, "Host: a\r\n\r\nB: c\r\n\r\n": false,
		"Host: a\r\n b\r\n\r\n": false, "Host: a\n\tb\r\n\r\n": false, " Host: a\r\n\r\n": false, "X Odd: 1\r\n\r\n": false, "Host : a\r\n\r\n": false,
		"Host: a\rB: c\r\n\r\n": false, "Host: a\x00\r\n\r\n": false, "Host\r\n\r\n": false, ": a\r\n\r\n": false, "Ho\x80st: a\r\n\r\n": false,
	} {
		err := CheckFields([]byte(lines))
		if valid {
			require.NoError(t, err, "%q", lines)
		} else {
			require.ErrorIs(t, err, ErrMalformed, "%q", lines)
		}
	}
}

func TestPeek_ConsumesNothing(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nA: b\r\n\r\nok"
	reader := bufio.NewReader(strings.NewReader(text))
	_, err := Peek(reader)
	require.NoError(t, err)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Equal(t, text, string(rest))
}

// A connection that ends before a head is told from one that ends within it.
func TestPeek_End(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for size := range len(text) {
		_, err := peekBytes(text[:size], 1)
		if size == 0 {
			require.Equal(t, io.EOF, err)
		} else {
			require.Equal(t, io.ErrUnexpectedEOF, err, text[:size])
		}
	}
	_, err := Peek(bufio.NewReader(io.MultiReader(strings.NewReader(text[:20]), iotest.ErrReader(io.ErrNoProgress))))
	require.ErrorIs(t, err, io.ErrNoProgress)
	_, err = peekBytes("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 8192), 4096)
	require.ErrorIs(t, err, errTooLarge)
}

// requireFieldsOf requires that every field line of a head is a field of header and that
// header has no others.
func requireFieldsOf(t *testing.T, text string, header *fasthttp.ResponseHeader) {
	want := map[string][]string{}
	lines := strings.Split(text, "\n")
	for _, line := range lines[1 : len(lines)-2] {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\r"), ":")
		key := textproto.CanonicalMIMEHeaderKey(name)
		want[key] = append(want[key], strings.Trim(value, " \t"))
	}
	got := map[string][]string{}
	for name, value := range header.All() {
		key := textproto.CanonicalMIMEHeaderKey(string(name))
		got[key] = append(got[key], string(value))
	}
	// The library keeps these apart and may write them in another form.
	for _, name := range []string{"Content-Type", "Content-Length", "Content-Encoding", "Connection", "Transfer-Encoding", "Server", "Date", "Set-Cookie", "Trailer"} {
		delete(want, name)
		delete(got, name)
	}
	require.Equal(t, want, got, "%q", text)
}

// grammar is the grammar of a head (RFC 9112, RFC 9110) with lenient line ends before the last
// two and without folded lines, for bytes that are written as the runes of their values.
var grammar = regexp.MustCompile(`\AHTTP/1\.[0-9] ([1-5][0-9][0-9])( [\t -~\x{80}-\x{ff}]*)?` +
	`(\r?\n[!#$%&'*+\-.^_\x60|~0-9A-Za-z]+:[\t -~\x{80}-\x{ff}]*)*\r\n\r\n`)

// codingOfOtherVersion matches a head with a transfer coding that its version doesn't have.
var codingOfOtherVersion = regexp.MustCompile(`(?i)\AHTTP/1\.[^1](.*\n)+transfer-encoding:`)

// FuzzPeek compares Peek with the grammar and with what the library reads from a head.
func FuzzPeek(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 200\n\nbody", "HTTP/1.1 200 OK\nA: b\n\nC: d\r\n\r\n", "HTTP/1.1 200 OK\nA: b\nC: d\r\n\r\nbody\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n X-Odd: 1\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\nA:\tc d\x80 \nSet-Cookie: x\n\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Digest: s\r\n\r\n2\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 599 \xff\t\r\nA:b\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok", "HTTP/1.1 204 No Content\r\n",
	} {
		f.Add(seed, uint8(0))
		f.Add(seed, uint8(255))
	}
	f.Fuzz(func(t *testing.T, text string, step uint8) {
		text = text[:min(len(text), 2048)]
		head, err := peekBytes(text, int(step)+1)
		runes := make([]rune, 0, len(text))
		for _, b := range []byte(text) {
			runes = append(runes, rune(b))
		}
		match := grammar.FindStringSubmatch(string(runes))
		if match != nil && codingOfOtherVersion.MatchString(match[0]) {
			match = nil
		}
		if err != nil {
			require.Nil(t, match, "%q: %v", text, err)
			return
		}
		require.NotNil(t, match, "%q", text)
		require.Len(t, []rune(match[0]), head.Size, "%q", text)
		require.Equal(t, match[1], strconv.Itoa(head.Status))
		var header fasthttp.ResponseHeader
		reader := bufio.NewReader(strings.NewReader(text))
		err = header.Read(reader)
		require.NotErrorIs(t, err, io.EOF, "%q: the library waits for more than the head", text)
		if err == nil {
			require.Equal(t, len(text)-head.Size, reader.Buffered(), "%q: the library reads another head", text)
			require.Equal(t, head.Status, header.StatusCode(), "%q", text)
			requireFieldsOf(t, text[:head.Size], &header)
			if head.mayHaveBody() {
				require.Equal(t, head.IsFramed, header.ContentLength() != -2, "%q: the library frames the body otherwise", text)
			}
		}
	})
}
