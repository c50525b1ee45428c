package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/target"
)

// A hub compared the address of each announcement with those of all targets: 3,000 targets took
// 39% of a core. The index by address must hold what a scan would find.
func TestByAddress_HoldsAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(entryTTL/4)).Draw(t, "pause")))
			name := fmt.Sprint("t-", rapid.IntRange(0, 5).Draw(t, "target"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				table.MarkGone(now, name)
			case 1:
				table.Sweep(now, time.Second)
			default:
				entry := Entry{
					Announcement: target.Announcement{
						Name: name, Service: "s", Address: fmt.Sprint("a-", rapid.IntRange(0, 3).Draw(t, "address")),
						Stamp: target.Stamp{Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"), Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence")},
					},
					State: Ready, LastSeen: now,
				}
				taken := false
				for other, current := range table.byName {
					taken = taken || other != name && current.Address == entry.Address && current.State != Gone && current.Incarnation > entry.Incarnation
				}
				changed := table.Merge(now, entry)
				require.False(t, changed && taken, "a target that started later holds the address")
			}
			indexed := 0
			for address, names := range table.byAddress {
				require.NotEmpty(t, names)
				for name := range names {
					indexed++
					require.Equal(t, address, table.byName[name].Address)
				}
			}
			require.Len(t, table.byName, indexed)
		}
	})
}
