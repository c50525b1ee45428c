package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/admission/origin"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// The table agrees with a plain list of the records, whatever the order of additions and
// times: the first version of a stream stays until its last expiry.
func TestTable_AgreesWithList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := origin.NewTable(1 << 20)
		model := map[origin.Key]origin.Record{}
		now := epoch
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				record := origin.Record{
					Key:     origin.Key(rapid.IntRange(0, 9).Draw(t, "key")),
					Version: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"),
					Until:   now.Add(time.Duration(rapid.IntRange(-500, 5000).Draw(t, "ms")) * time.Millisecond),
				}
				known, found := model[record.Key]
				found = found && known.Until.After(now)
				unknown := table.Add(now, record)
				switch {
				case !record.Until.After(now):
					require.Empty(t, unknown)
				case found:
					require.Empty(t, unknown)
					if record.Until.After(known.Until) {
						known.Until = record.Until
						model[record.Key] = known
					}
				default:
					require.Len(t, unknown, 1)
					model[record.Key] = record
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for key, record := range model {
					version, found := table.Find(now, key)
					require.Equal(t, record.Until.After(now), found)
					if found {
						require.Equal(t, record.Version, version)
					}
				}
			},
		})
	})
}

// A table that is full drops the streams that callers can take up for the shortest time.
func TestTable_FullTableDropsWhatExpiresFirst(t *testing.T) {
	table := origin.NewTable(100)
	for i := range 300 {
		table.Add(epoch, origin.Record{Key: origin.KeyOf("s", fmt.Sprint(i)), Version: "v1", Until: epoch.Add(time.Duration(i+1) * time.Second)})
	}
	require.Equal(t, 100, table.Len())
	_, found := table.Find(epoch, origin.KeyOf("s", "0"))
	require.False(t, found)
	_, found = table.Find(epoch, origin.KeyOf("s", "299"))
	require.True(t, found)
	require.Len(t, table.All(epoch.Add(250*time.Second)), 50)
}

// Requests of two services may have the same ID.
func TestKeyOf_TellsServicesApart(t *testing.T) {
	require.NotEqual(t, origin.KeyOf("a", "bc"), origin.KeyOf("ab", "c"))
	require.Equal(t, origin.KeyOf("a", "b"), origin.KeyOf("a", "b"))
}

// A request that waits for the record of a stream is woken by it.
func TestTable_WaitEndsWithNextRecord(t *testing.T) {
	table := origin.NewTable(10)
	_, found, added := table.FindOrWait(epoch, 1)
	require.False(t, found)
	table.Add(epoch, origin.Record{Key: 1, Version: "v1", Until: epoch.Add(time.Second)})
	<-added
	version, found, _ := table.FindOrWait(epoch, 1)
	require.True(t, found)
	require.Equal(t, "v1", version)
}
