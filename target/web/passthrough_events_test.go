package web

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/target"
)

func newTestEvents(text, after string) *PassthroughEvents {
	return NewPassthroughEvents(bufio.NewReader(strings.NewReader(text)), after)
}

func TestPassthroughEvents_ForwardsEventsUnchanged(t *testing.T) {
	events := newTestEvents("id: 1\ndata: a\n\nid: 2\nevent: x\ndata: b\ndata: c\n\n", "")
	require.True(t, newTestEvents("id: 1\n\n", "").reader != nil)
	first, err := events.Next()
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(first.Raw))
	second, err := events.Next()
	require.NoError(t, err)
	require.Equal(t, "2", second.ID)
	require.Equal(t, "id: 2\nevent: x\ndata: b\ndata: c\n\n", string(second.Raw))
	_, err = events.Next()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, 2, events.End().Events)
}

func TestPassthroughEvents_ResumesAfterLastEventID(t *testing.T) {
	events := newTestEvents("id: 4\ndata: old\n\nid: 5\ndata: new\n\n", "4")
	next, err := events.Next()
	require.NoError(t, err)
	require.Equal(t, "5", next.ID)
	require.Equal(t, 1, events.End().DuplicateEvents)
	_, err = newTestEvents("id: 6\n\n", "4").Next()
	require.ErrorIs(t, err, target.ErrTruncated, "event 5 is missing")
}

func TestPassthroughEvents_RejectsInvalidEvents(t *testing.T) {
	_, err := newTestEvents("data: no id\n\n", "").Next()
	require.ErrorIs(t, err, target.ErrMalformedResponse)
	_, err = newTestEvents("id: 1\ndata: cut", "").Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = newTestEvents("id: 1\ndata: cut\n", "").Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the empty line that ends the event is missing")
	_, err = newTestEvents("id: 1\ndata: "+strings.Repeat("x", maxEventBytes)+"\n\n", "").Next()
	require.ErrorIs(t, err, target.ErrResponseTooLarge)
}

// For any truncation of a stream, the returned events must be complete and
// consecutive. io.EOF must be returned only if the stream ends between events.
func TestPassthroughEvents_TruncatedStreamReturnsOnlyCompleteEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "events")
		var text strings.Builder
		var wantEvents []string
		for i := range count {
			event := "id: " + string(rune('1'+i)) + "\ndata: " + strings.Repeat("x", rapid.IntRange(0, 30).Draw(t, "size")) + "\n\n"
			wantEvents = append(wantEvents, event)
			text.WriteString(event)
		}
		cut := rapid.IntRange(0, text.Len()).Draw(t, "cut")
		events := newTestEvents(text.String()[:cut], "")
		returned := ""
		for i := 0; ; i++ {
			event, err := events.Next()
			if err != nil {
				require.Equal(t, cut == len(returned), err == io.EOF) //nolint:errorlint // The bare value is the contract.
				return
			}
			require.Equal(t, wantEvents[i], string(event.Raw))
			returned += string(event.Raw)
		}
	})
}

// A line was as long as the read buffer or a multiple of it. Its line end was read as the
// empty line that ends the event, so that callers got this event joined with the next one;
// or its rest was read as a line of its own, such as another ID.
func TestPassthroughEvents_LineLongerThanReadBuffer(t *testing.T) {
	const bufferBytes = 16
	for _, filler := range []string{"x", "id: 7 "} {
		for size := range 4 * bufferBytes {
			var want []string
			for i := range 3 {
				data := strings.Repeat(filler, size)[:size]
				want = append(want, fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, data))
			}
			reader := bufio.NewReaderSize(strings.NewReader(strings.Join(want, "")), bufferBytes)
			events := NewPassthroughEvents(reader, "")
			for i, raw := range want {
				event, err := events.Next()
				require.NoError(t, err, "event %d with %d bytes", i, size)
				require.Equal(t, raw, string(event.Raw), "%d bytes", size)
			}
			_, err := events.Next()
			require.ErrorIs(t, err, io.EOF)
		}
	}
}

// A target wrote the header of an error response into an event that it had begun, or one
// of its header lines before an event. Callers got it as a part of the event.
func TestPassthroughEvents_ResponseHeaderIsNoPartOfAnEvent(t *testing.T) {
	const header = "HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\n"
	for _, text := range []string{
		header + "id: 1\ndata: a\n\n",
		"Content-Type: text/plain\r\nid: 1\ndata: a\n\n",
		"id: 1\n" + header + "\r\n",
		"id: 1\nda" + header + "\r\n",
		"id: 1\ndata: a" + header + "\r\n",
		"id: 1\noops\nno such stream\n\n",
	} {
		_, err := newTestEvents(text, "").Next()
		require.ErrorIs(t, err, target.ErrMalformedResponse, text)
	}
	for _, text := range []string{
		"x-weight-versions: 3\nid: 1\ndata: a\n\n",
		": Comment 1/2\nid:1\nevent: A\nretry: 5\ndata\n\n",
		"id: 1\ndata: HTTP/1.1 500 Oops\ndata: Content-Type: text/plain\n\n",
	} {
		event, err := newTestEvents(text, "").Next()
		require.NoError(t, err)
		require.Equal(t, text, string(event.Raw))
	}
}
