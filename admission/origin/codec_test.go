package origin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEncode_DecodesToTheSameRecords(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var records, unexpired []Record
		for i := range rapid.IntRange(0, 50).Draw(t, "records") {
			record := Record{
				Key:     Key(rapid.Uint64().Draw(t, "key")),
				Version: fmt.Sprint("v", rapid.IntRange(0, 5).Draw(t, "version")),
				Until:   now.Add(time.Duration(rapid.IntRange(-1000, 100_000).Draw(t, fmt.Sprint("remaining", i))) * time.Millisecond),
			}
			if records = append(records, record); record.Until.After(now) {
				unexpired = append(unexpired, record)
			}
		}
		decoded, err := Decode(now, Encode(now, records))
		require.NoError(t, err)
		byKey := func(a, b Record) int {
			return strings.Compare(fmt.Sprint(a.Key, a.Version, a.Until), fmt.Sprint(b.Key, b.Version, b.Until))
		}
		slices.SortFunc(decoded, byKey)
		slices.SortFunc(unexpired, byKey)
		require.Equal(t, unexpired, decoded)
	})
}

// What is left to a record is kept over a stop, however long it is and whatever the clock
// says afterwards.
func TestDecode_RemainingTimeStartsAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	encoded := Encode(now, []Record{{Key: 1, Version: "v1", Until: now.Add(5 * time.Second)}})
	for _, jump := range []time.Duration{-time.Hour, 0, time.Hour} {
		decoded, err := Decode(now.Add(jump), encoded)
		require.NoError(t, err)
		require.Equal(t, []Record{{Key: 1, Version: "v1", Until: now.Add(jump + 5*time.Second)}}, decoded)
	}
}

func FuzzDecode(f *testing.F) {
	now := time.Unix(1_000_000, 0)
	f.Add(Encode(now, []Record{{Key: 1, Version: "v1", Until: now.Add(time.Second)}, {Key: 2, Version: "", Until: now.Add(time.Hour)}}))
	f.Add([]byte{2, 'v', '1', 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0xff, 0xff, 3})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		records, err := Decode(now, encoded)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidEncoding)
			return
		}
		require.LessOrEqual(t, len(records), len(encoded)/minRecordBytes)
		for _, record := range records {
			require.False(t, record.Until.Before(now))
		}
	})
}
