package host

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/chat"
	"comfreytiller.dev/target"
)

func sampleServiceState() admission.ExportedState {
	return admission.ExportedState{
		Current: true,
		Targets: []admission.ExportedTarget{{
			Announcement: target.Announcement{
				Name: "engine-1", Stamp: target.Stamp{Incarnation: 3, Sequence: 4}, Address: "127.0.0.1:1",
				FailureDomain: "East", Kind: target.KindModel, Service: "Chats", Model: "m", Version: "1",
				Adapters: []string{"a"}, Role: target.RolePrefill, Capacity: 5, CacheCapacityChats: 6,
				Cold: true, ChecksFencingToken: true, SupportsResume: true, SupportsCacheTransfer: true,
			},
			MembershipStamp: target.Stamp{Incarnation: 3, Sequence: 9},
			Left:            true, SilentFor: time.Second, CompletedRequests: 7, ReportedCold: true,
		}},
		Chats: chat.Batch{
			Instances: []chat.Instance{{Target: "engine-1", Incarnation: 3}, {Target: "engine-2", Incarnation: 1}},
			Entries: []chat.Entry{
				{Chat: 8, Last: 0, Second: 1, Displaced: true, Age: time.Minute},
				{Chat: 9, Last: 1, Second: -1},
			},
		},
	}
}

func TestServiceStateCodec_RoundTrip(t *testing.T) {
	data, err := encodeServiceState(sampleServiceState())
	require.NoError(t, err)
	decoded, err := decodeServiceState(data)
	require.NoError(t, err)
	require.Equal(t, sampleServiceState(), decoded)
}

func FuzzDecodeServiceState(f *testing.F) {
	data, err := encodeServiceState(sampleServiceState())
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeServiceState(data)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidServiceState)
			return
		}
		for _, entry := range decoded.Chats.Entries {
			require.Less(t, entry.Last, len(decoded.Chats.Instances))
			require.Less(t, entry.Second, len(decoded.Chats.Instances))
		}
		reencoded, err := encodeServiceState(decoded)
		require.NoError(t, err)
		redecoded, err := decodeServiceState(reencoded)
		require.NoError(t, err)
		require.Equal(t, decoded, redecoded)
	})
}
