package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/chat"
	"comfreytiller.dev/target"
)

func sampleCopy() admission.Copy {
	return admission.Copy{
		Current: true,
		Targets: []admission.TargetCopy{{
			Announcement: target.Announcement{
				Name: "engine-1", Stamp: target.Stamp{Incarnation: 3, Sequence: 4}, Address: "127.0.0.1:1",
				FailureDomain: "East", Kind: target.KindModel, Service: "Chats", Model: "m", Version: "1",
				Adapters: []string{"a"}, Role: target.RolePrefill, Capacity: 5, CacheCapacityChats: 6,
				Cold: true, ChecksFencingToken: true, SupportsResume: true, SupportsCacheTransfer: true,
			},
			Announced: target.Stamp{Incarnation: 3, Sequence: 9},
			Left:      true, Silent: time.Second, Completed: 7, ReportedCold: true,
		}},
		Chats: chat.Batch{
			Spots: []chat.Spot{{Target: "engine-1", Incarnation: 3}, {Target: "engine-2", Incarnation: 1}},
			Entries: []chat.Entry{
				{Chat: 8, Last: 0, Second: 1, Displaced: true, Age: time.Minute},
				{Chat: 9, Last: 1, Second: -1},
			},
		},
	}
}

func TestCopySurvivesTheCodec(t *testing.T) {
	data, err := encodeCopy(sampleCopy())
	require.NoError(t, err)
	back, err := decodeCopy(data)
	require.NoError(t, err)
	require.Equal(t, sampleCopy(), back)
}

func FuzzDecodeCopy(f *testing.F) {
	data, err := encodeCopy(sampleCopy())
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeCopy(data)
		if err != nil {
			require.ErrorIs(t, err, ErrCopy)
			return
		}
		for _, entry := range decoded.Chats.Entries {
			require.Less(t, entry.Last, len(decoded.Chats.Spots))
			require.Less(t, entry.Second, len(decoded.Chats.Spots))
		}
		again, err := encodeCopy(decoded)
		require.NoError(t, err)
		back, err := decodeCopy(again)
		require.NoError(t, err)
		require.Equal(t, decoded, back)
	})
}
