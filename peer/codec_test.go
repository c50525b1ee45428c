package peer

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func permits() *rapid.Generator[admission.Permit] {
	return rapid.Custom(func(t *rapid.T) admission.Permit {
		text := rapid.StringN(0, 12, -1)
		span := rapid.Int64Range(0, int64(time.Hour))
		return admission.Permit{
			RequestID:   text.Draw(t, "RequestID"),
			Host:        text.Draw(t, "Host"),
			Service:     text.Draw(t, "Service"),
			Workspace:   text.Draw(t, "Workspace"),
			Chat:        text.Draw(t, "Chat"),
			Target:      text.Draw(t, "Target"),
			Incarnation: rapid.Uint64().Draw(t, "Incarnation"),
			Address:     text.Draw(t, "Address"),
			Fence:       rapid.Uint64().Draw(t, "Fence"),
			ValidFor:    time.Duration(span.Draw(t, "ValidFor")),
			Warm:        rapid.Bool().Draw(t, "Warm"),
			Waited:      time.Duration(span.Draw(t, "Waited")),
			Reason:      text.Draw(t, "Reason"),
			ChecksFence: rapid.Bool().Draw(t, "ChecksFence"),
			Resumes:     rapid.Bool().Draw(t, "Resumes"),
			CacheFrom:   text.Draw(t, "CacheFrom"),
		}
	})
}

// samples holds a message of each type with every field set.
func samples() []Message {
	mark := target.Stamp{Incarnation: 7, Sequence: 9}
	return []Message{
		Ping{},
		Pong{},
		Roster{Host: "h", Entries: []roster.Entry{{
			Announcement: target.Announcement{Name: "t", Stamp: mark, Service: "s", Capacity: 4}, State: roster.Leaving,
			WarmUpRemaining: time.Second, LastSeen: epoch.Add(-time.Second), Silent: true,
		}}, Watchers: []string{"e"}, Loads: map[string]int{"t": 3}},
		Watch{Host: "h", Revision: 1, FleetVersion: 2, Source: 3, Roster: 4, Wait: time.Second, Loads: map[string]int{"t": 3}},
		Watched{
			Current: true, Delta: []byte{1}, Source: 2, Roster: 3, Entries: []roster.Entry{{State: roster.Gone, LastSeen: epoch}},
			Hosts: 4, Replicas: []string{"a"}, Loads: map[string]int{"t": 3}, MeanLoad: 1.5,
		},
		Join{ID: "i", Host: "h", Address: "a", Passed: true},
		Taken{},
		Failure{Message: "m"},
		Acquire{Request: admission.Request{
			ID: "r", Host: "h", Service: "s", Workspace: "w", Chat: "c", Priority: 3,
			Deadline: epoch.Add(time.Minute), Exclude: []string{"t"},
		}, Fence: 4},
		Refusal{Refusal: admission.Refusal{
			RequestID: "r", Code: admission.RefusedQueueFull, Message: "m", RetryAfter: time.Second,
		}},
		Releases{Service: "s", Releases: []admission.Release{
			{RequestID: "r", Service: "s", Outcome: admission.OutcomeDone, FirstByte: time.Second},
			{RequestID: "q", Service: "s", Outcome: admission.OutcomeFailed},
			{RequestID: "p", Service: "s", Outcome: admission.OutcomeCancelled},
			{RequestID: "o", Service: "s", Outcome: admission.OutcomeUnsent},
		}},
		TargetNews{Service: "s", Announcement: &target.Announcement{
			Name: "t", Stamp: mark, Address: "a", FailureDomain: "f", Kind: target.KindModel,
			Service: "s", Model: "m", Version: "v", Adapters: []string{"x"}, Role: target.RoleDecode,
			Capacity: 2, CacheCapacityChats: 3, Cold: true, ChecksFencingToken: true, SupportsResume: true, SupportsCacheTransfer: true,
		}},
		TargetNews{Service: "s", Load: &target.LoadReport{
			Name: "t", Stamp: mark, Service: "s", InFlight: 1, Queued: 2, CacheUsed: 0.5, Cold: true,
		}},
		TargetNews{Service: "s", Cache: &target.CacheEvent{
			Name: "t", Stamp: mark, Service: "s", Change: target.CacheStored, Chats: []string{"c"},
		}},
		TargetNews{Service: "s", Leave: &target.Leave{Name: "t", Stamp: mark, Service: "s"}},
		TargetKnown{Known: true},
		CopyPart{Service: "s", Fence: 3, Data: []byte{1}},
		Quorum{Messages: []byte{1}},
		Propose{Command: []byte{1}},
		Proposed{Code: CodeDone, Result: []byte{1}, Leader: "l"},
		Renew{Session: 1, Revision: 2, FleetVersion: 3, Wait: time.Second, IdleServices: []string{"s"}},
		Renewed{Code: CodeNotLeader, Leader: "l", Delta: []byte{1}, IdleServices: []string{"s"}},
		StatusAsk{Service: "s"},
		StatusTold{Status: []byte{1}},
		VersionsAsk{},
		VersionsTold{Revision: 1, FleetVersion: 2, OutageVersion: 3},
		Digest{
			Host: "h", Session: 1,
			Targets: []DigestTarget{{
				Announcement: target.Announcement{Name: "t", Stamp: mark},
				Ready:        true, Cold: true, Leaving: true, InFlight: 2, Chats: 3,
			}},
			Services: []DigestService{{Name: "s", Queued: 1, InFlight: 2}},
		},
		IdentityAsk{},
		IdentityTold{ID: "i", Host: "h", Cluster: "c"},
	}
}

func roundTrip(t require.TestingT, message Message) {
	data, err := encodeFrame(frame{call: 5, answer: true, message: message}, epoch)
	require.NoError(t, err)
	back, err := decodeFrame(data, epoch)
	require.NoError(t, err)
	require.Equal(t, frame{call: 5, answer: true, message: message}, back)
}

func TestEveryMessageSurvivesTheCodec(t *testing.T) {
	for _, message := range samples() {
		roundTrip(t, message)
	}
}

func TestPermitsSurviveTheCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		permit := permits().Draw(t, "permit")
		granted := permit
		granted.RequestID, granted.Host, granted.Service, granted.Workspace, granted.Chat = "", "", "", "", ""
		roundTrip(t, Permit{Permit: granted})
		roundTrip(t, Adopt{Host: "h", Session: 1, Service: "s", Fence: 2, Permits: []admission.Permit{permit}})
	})
}

// The clocks of two hosts differ, so what travels is the time that remains.
func TestDeadlineTravelsAsTheTimeThatRemains(t *testing.T) {
	sent := Acquire{Request: admission.Request{Deadline: epoch.Add(time.Minute)}}
	data, err := encodeFrame(frame{message: sent}, epoch)
	require.NoError(t, err)
	other := epoch.Add(-time.Hour)
	back, err := decodeFrame(data, other)
	require.NoError(t, err)
	require.Equal(t, other.Add(time.Minute), back.message.(Acquire).Request.Deadline)
}

func FuzzDecodeFrame(f *testing.F) {
	for _, message := range samples() {
		data, err := encodeFrame(frame{call: 1, message: message}, epoch)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeFrame(data, epoch)
		if err != nil {
			require.ErrorIs(t, err, ErrFrame)
			return
		}
		again, err := encodeFrame(decoded, epoch)
		require.NoError(t, err)
		back, err := decodeFrame(again, epoch)
		require.NoError(t, err)
		require.Equal(t, decoded, back)
	})
}

// Lists of many targets travel deflated.
func TestLongFramesAreDeflated(t *testing.T) {
	watched := Watched{Current: true, Source: 3, Roster: 9}
	for i := range 200 {
		watched.Entries = append(watched.Entries, roster.Entry{
			Announcement: target.Announcement{
				Name: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "Reviews",
				FailureDomain: "rabat-a", Stamp: target.Stamp{Incarnation: 7, Sequence: uint64(i)},
			},
			State: roster.Ready, LastSeen: epoch,
		})
	}
	data, err := encodeFrame(frame{call: 5, answer: true, message: watched}, epoch)
	require.NoError(t, err)
	require.Less(t, len(data), 200*40)
	read, err := decodeFrame(data, epoch)
	require.NoError(t, err)
	require.Equal(t, frame{call: 5, answer: true, message: watched}, read)

	_, err = decodeFrame(append([]byte{0x1a, 5}, "wrong"...), epoch)
	require.ErrorIs(t, err, ErrFrame)
}
