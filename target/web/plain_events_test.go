package web

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/target"
)

func plainEvents(text, after string) *PassthroughEvents {
	return NewPassthroughEvents(bufio.NewReader(strings.NewReader(text)), after)
}

func TestPlainEventsAreHandedOnAsTheyAre(t *testing.T) {
	events := plainEvents("id: 1\ndata: a\n\nid: 2\nevent: x\ndata: b\ndata: c\n\n", "")
	require.True(t, plainEvents("id: 1\n\n", "").reader != nil)
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

func TestPlainEventsGoOnAfterTheLastOne(t *testing.T) {
	events := plainEvents("id: 4\ndata: old\n\nid: 5\ndata: new\n\n", "4")
	next, err := events.Next()
	require.NoError(t, err)
	require.Equal(t, "5", next.ID)
	require.Equal(t, 1, events.End().Repeated)
	_, err = plainEvents("id: 6\n\n", "4").Next()
	require.ErrorIs(t, err, target.ErrCut, "event 5 is missing")
}

func TestFaultyPlainEventsAreRefused(t *testing.T) {
	_, err := plainEvents("data: no id\n\n", "").Next()
	require.ErrorIs(t, err, target.ErrMalformed)
	_, err = plainEvents("id: 1\ndata: cut", "").Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = plainEvents("id: 1\ndata: cut\n", "").Next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the empty line is missing")
	_, err = plainEvents("id: 1\ndata: "+strings.Repeat("x", maxEventBytes)+"\n\n", "").Next()
	require.ErrorIs(t, err, target.ErrTooLong)
}

// However a stream is cut, what is handed out is a run of whole events without a
// gap, and a cut never looks like an end within an event.
func TestCutPlainEventsStayWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "events")
		var text strings.Builder
		var whole []string
		for i := range count {
			event := "id: " + string(rune('1'+i)) + "\ndata: " + strings.Repeat("x", rapid.IntRange(0, 30).Draw(t, "size")) + "\n\n"
			whole = append(whole, event)
			text.WriteString(event)
		}
		cut := rapid.IntRange(0, text.Len()).Draw(t, "cut")
		events := plainEvents(text.String()[:cut], "")
		handed := ""
		for i := 0; ; i++ {
			event, err := events.Next()
			if err != nil {
				require.Equal(t, cut == len(handed), err == io.EOF) //nolint:errorlint // The bare value is the contract.
				return
			}
			require.Equal(t, whole[i], string(event.Raw))
			handed += string(event.Raw)
		}
	})
}
