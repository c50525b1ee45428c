package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a new replica, or a second cluster, beside a disk that was kept: a log or a
// snapshot of a running cluster without an identity is damage.
func TestStart_RefusesLogWithoutIdentity(t *testing.T) {
	for name, test := range map[string]struct {
		snapshot   Snapshot
		entries    []Entry
		incomplete bool
	}{
		"entries":               {Snapshot{}, makeEntries(1, 1, 2), false},
		"later snapshot":        {Snapshot{Index: 5, Term: 2}, nil, false},
		"snapshot and entries":  {Snapshot{Index: 1, Term: 1}, makeEntries(1, 2), false},
		"interrupted bootstrap": {Snapshot{Index: 1, Term: 1}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			storage := &MemoryStorage{snapshot: test.snapshot, entries: test.entries}
			_, _, _, created, err := loadOrCreateIdentity(storage, "", "h")
			require.ErrorIs(t, err, ErrCorrupt)
			require.False(t, created)
			if test.incomplete {
				require.ErrorIs(t, err, ErrBootstrapIncomplete)
			} else {
				require.NotErrorIs(t, err, ErrBootstrapIncomplete)
			}
			state, _, _, err := storage.Load()
			require.NoError(t, err)
			require.Empty(t, state.ID)
		})
	}
}
