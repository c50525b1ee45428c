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
	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/ratelimit"
	"comfreytiller.dev/target/roster"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// permitGenerator draws permits with all fields set at random.
func permitGenerator() *rapid.Generator[admission.Permit] {
	return rapid.Custom(func(t *rapid.T) admission.Permit {
		text := rapid.StringN(0, 12, -1)
		span := rapid.Int64Range(0, int64(time.Hour))
		return admission.Permit{
			RequestID:          text.Draw(t, "RequestID"),
			Host:               text.Draw(t, "Host"),
			Service:            text.Draw(t, "Service"),
			Workspace:          text.Draw(t, "Workspace"),
			Chat:               text.Draw(t, "Chat"),
			Target:             text.Draw(t, "Target"),
			Incarnation:        rapid.Uint64().Draw(t, "Incarnation"),
			Address:            text.Draw(t, "Address"),
			FencingToken:       rapid.Uint64().Draw(t, "Fence"),
			ValidFor:           time.Duration(span.Draw(t, "ValidFor")),
			Warm:               rapid.Bool().Draw(t, "Warm"),
			Waited:             time.Duration(span.Draw(t, "Waited")),
			Reason:             text.Draw(t, "Reason"),
			ChecksFencingToken: rapid.Bool().Draw(t, "ChecksFence"),
			SupportsResume:     rapid.Bool().Draw(t, "Resumes"),
			CacheSource:        text.Draw(t, "CacheFrom"),
			Version:            text.Draw(t, "Version"),
		}
	})
}

// sampleCrashReport returns a report with every field set.
func sampleCrashReport() quarantine.Report {
	return quarantine.Report{
		Crashes:   []quarantine.Crash{{Subject: quarantine.Request(1), Depth: 2, Target: "t", Incarnation: 7, SentAt: epoch.Add(-time.Second), CrashedAt: epoch}},
		Successes: []quarantine.Success{{Subject: quarantine.Request(2), SentAt: epoch.Add(-time.Second)}},
	}
}

// sampleSuspects returns a part in quarantine and one that was cleared.
func sampleSuspects() []quarantine.Suspect {
	return []quarantine.Suspect{
		{Subject: quarantine.Request(1), Crashes: 3, FirstAt: epoch.Add(-time.Minute), LastAt: epoch.Add(-time.Second), Until: epoch.Add(time.Minute), IsCompared: true, FailedTrials: 2, TrialAt: epoch.Add(-time.Second)},
		{Subject: quarantine.PromptPart(2), FirstAt: epoch.Add(-time.Minute), LastAt: epoch.Add(-time.Second), ClearedAt: epoch.Add(-time.Second)},
	}
}

// sampleMessages returns messages of every type with every field set.
func sampleMessages() []Message {
	sampleStamp := target.Stamp{Incarnation: 7, Sequence: 9}
	return []Message{
		Ping{},
		Pong{},
		RosterUpdate{
			Host: "h", Entries: []roster.Entry{{
				Announcement: target.Announcement{Name: "t", Stamp: sampleStamp, Service: "s", Capacity: 4}, State: roster.Leaving,
				WarmUpRemaining: time.Second, LastSeen: epoch.Add(-time.Second), Silent: true,
				RateLimit: ratelimit.Limit{IsLimited: true, PerSecond: 4.25, SaidAt: epoch.Add(-time.Second)},
			}}, Watchers: []string{"e"}, Loads: map[roster.Key]int{roster.KeyOf("t"): 3}, CrashReport: sampleCrashReport(), Quarantined: sampleSuspects(),
			Origins: []origin.Record{{Key: 1, Version: "v1", Until: epoch.Add(time.Second)}, {Key: 2, Version: "v1", Until: epoch.Add(2 * time.Second)}, {Key: 3, Until: epoch.Add(time.Second)}},
			Relayed: true, WantedOrigin: 4, MaxWait: time.Second, LowestRevision: 5,
			Replica: "i", FleetVersion: 6, OutageVersion: 7, Serves: true, Served: 8,
			Renewals:      []roster.Renewal{{Fingerprint: 1, Sequence: 2, LastSeen: epoch.Add(-time.Second)}, {Fingerprint: 1 << 63, LastSeen: epoch}},
			ReadsRenewals: true, Wanted: []roster.Fingerprint{3, 1 << 63}, SilentVoters: []string{"i"},
		},
		WatchRequest{
			Host: "h", Revision: 1, FleetVersion: 2, RosterSource: 3, RosterVersion: 4, MaxWait: time.Second, Loads: map[roster.Key]int{roster.KeyOf("t"): 3}, CrashReport: sampleCrashReport(), SuspectsVersion: 5, Quarantined: sampleSuspects(), StateOnly: true, MaxDeltaBytes: 6, PeerAddress: "a", PendingRevision: 7, Direct: true,
			IsFirst: true, ReplyTimeout: time.Second, PassesViews: true, RosterSummary: roster.Summary{1, 0, 1 << 63}, ReadsPacked: true,
			Refused: []quarantine.Subject{quarantine.PromptPart(1 << 63), quarantine.Request(2)},
			RateLimits: []ratelimit.Report{
				{Target: "t", Incarnation: 7, Limit: ratelimit.Limit{SaidAt: epoch.Add(-time.Second)}},
				{Target: "u", Incarnation: 8, Limit: ratelimit.Limit{IsLimited: true, PerSecond: 0.5, SaidAt: epoch}},
			},
		},
		WatchResponse{
			QuorumConfirmed: true, Delta: []byte{1}, RosterSource: 2, RosterVersion: 3, Entries: []roster.Entry{{State: roster.Gone, LastSeen: epoch}},
			WatcherCount: 4, ReplicaAddresses: []string{"a"}, Loads: map[roster.Key]int{roster.KeyOf("t"): 3}, MeanLoad: 1.5, WithoutLoads: true,
			SuspectsVersion: 5, Suspects: sampleSuspects(), ConfirmedAge: 6, Held: 7, OmittedRevision: 8, Sources: []string{"b"}, Checksum: 9, RetryAfter: time.Second, Hubs: []string{"c"}, Trials: []quarantine.Subject{quarantine.Request(2)},
		},
		WatchResponse{PresentCount: 4},
		JoinRequest{ID: "i", Host: "h", Address: "a", Forwarded: true},
		Ack{},
		Failure{Message: "m"},
		AcquireRequest{Request: admission.Request{
			ID: "r", Host: "h", Service: "s", Workspace: "w", Chat: "c", Priority: 3,
			Deadline: epoch.Add(time.Minute), Exclude: []string{"t"},
			Version: "v1", RequiresVersion: true,
		}, FencingToken: 4},
		Refusal{Refusal: admission.Refusal{
			RequestID: "r", Code: admission.RefusedQueueFull, Message: "m", RetryAfter: time.Second,
		}},
		Releases{Service: "s", Releases: []admission.Release{
			{RequestID: "r", Service: "s", Outcome: admission.OutcomeDone, FirstByte: time.Second},
			{RequestID: "q", Service: "s", Outcome: admission.OutcomeFailed},
			{RequestID: "p", Service: "s", Outcome: admission.OutcomeCancelled},
			{RequestID: "o", Service: "s", Outcome: admission.OutcomeUnsent},
		}},
		TargetUpdate{Service: "s", Announcement: &target.Announcement{
			Name: "t", Stamp: sampleStamp, Address: "a", FailureDomain: "f", Kind: target.KindModel,
			Service: "s", Model: "m", Version: "v", Adapters: []string{"x"}, Role: target.RoleDecode,
			Capacity: 2, CacheCapacityChats: 3, Cold: true, ChecksFencingToken: true, SupportsResume: true, SupportsCacheTransfer: true,
		}},
		TargetUpdate{Service: "s", Load: &target.LoadReport{
			Name: "t", Stamp: sampleStamp, Service: "s", InFlight: 1, Queued: 2, CacheUsed: 0.5, Cold: true,
		}},
		TargetUpdate{Service: "s", Cache: &target.CacheEvent{
			Name: "t", Stamp: sampleStamp, Service: "s", Change: target.CacheStored, Chats: []string{"c"},
		}},
		TargetUpdate{Service: "s", Leave: &target.Leave{Name: "t", Stamp: sampleStamp, Service: "s"}},
		TargetUpdateAck{Known: true},
		ServiceStateChunk{Service: "s", FencingToken: 3, Data: []byte{1}},
		QuorumMessages{Messages: []byte{1}},
		ProposeRequest{Command: []byte{1}},
		ProposeResponse{Code: CodeDone, Result: []byte{1}, Leader: "l"},
		RenewRequest{Session: 1, Revision: 2, FleetVersion: 3, MaxWait: time.Second, UnavailableServices: []string{"s"}},
		RenewResponse{Code: CodeNotLeader, Leader: "l", Delta: []byte{1}, UnavailableServices: []string{"s"}},
		StatusRequest{Service: "s"},
		StatusResponse{Status: []byte{1}},
		VersionsRequest{},
		VersionsResponse{Revision: 1, FleetVersion: 2, OutageVersion: 3},
		Digest{
			Host: "h", Session: 1,
			Targets: []DigestTarget{{
				Announcement: target.Announcement{Name: "t", Stamp: sampleStamp},
				Ready:        true, Cold: true, Leaving: true, InFlight: 2, WarmChats: 3,
			}},
			Services: []DigestService{{Name: "s", Queued: 1, InFlight: 2}},
		},
		IdentityRequest{},
		HostsRequest{},
		HostsResponse{Addresses: []string{"a"}},
		IdentityResponse{ID: "i", Host: "h", Cluster: "c", LastTerm: 4, LastIndex: 9},
		MemberChangeRequest{Change: MemberReplace, ID: "i", Address: "a"},
		MemberChangeResponse{Code: CodeRejected, Message: "m", Leader: "l"},
	}
}

func requireRoundTrip(t require.TestingT, message Message) {
	data, err := encodeFrame(frame{callID: 5, isReply: true, message: message}, epoch)
	require.NoError(t, err)
	decoded, err := decodeFrame(data, epoch)
	require.NoError(t, err)
	require.Equal(t, frame{callID: 5, isReply: true, message: message}, decoded)
}

func TestCodec_AllMessageTypesRoundTrip(t *testing.T) {
	for _, message := range sampleMessages() {
		requireRoundTrip(t, message)
	}
}

func TestCodec_PermitsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		permit := permitGenerator().Draw(t, "permit")
		granted := permit
		granted.RequestID, granted.Host, granted.Service, granted.Workspace, granted.Chat = "", "", "", "", ""
		requireRoundTrip(t, Permit{Permit: granted})
		requireRoundTrip(t, AdoptPermits{Host: "h", Session: 1, Service: "s", FencingToken: 2, Permits: []admission.Permit{permit}})
	})
}

// The deadline is sent as the remaining time, since the clocks of hosts differ.
func TestCodec_DeadlineSentAsRemainingTime(t *testing.T) {
	sent := AcquireRequest{Request: admission.Request{Deadline: epoch.Add(time.Minute)}}
	data, err := encodeFrame(frame{message: sent}, epoch)
	require.NoError(t, err)
	receiverNow := epoch.Add(-time.Hour)
	decoded, err := decodeFrame(data, receiverNow)
	require.NoError(t, err)
	require.Equal(t, receiverNow.Add(time.Minute), decoded.message.(AcquireRequest).Request.Deadline)
}

// FuzzDecodeFrame checks that invalid data fails with ErrInvalidFrame and that a
// decoded frame is the same after encoding and decoding it again.
func FuzzDecodeFrame(f *testing.F) {
	for _, message := range sampleMessages() {
		data, err := encodeFrame(frame{callID: 1, message: message}, epoch)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeFrame(data, epoch)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidFrame)
			return
		}
		encoded, err := encodeFrame(decoded, epoch)
		require.NoError(t, err)
		decodedAgain, err := decodeFrame(encoded, epoch)
		require.NoError(t, err)
		require.Equal(t, decoded, decodedAgain)
	})
}

// Long lists of targets are compressed. Invalid compressed data is rejected.
func TestCodec_CompressesLongFrames(t *testing.T) {
	response := WatchResponse{QuorumConfirmed: true, RosterSource: 3, RosterVersion: 9}
	for i := range 200 {
		response.Entries = append(response.Entries, roster.Entry{
			Announcement: target.Announcement{
				Name: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "Reviews",
				FailureDomain: "rabat-a", Stamp: target.Stamp{Incarnation: 7, Sequence: uint64(i)},
			},
			State: roster.Ready, LastSeen: epoch,
		})
	}
	data, err := encodeFrame(frame{callID: 5, isReply: true, message: response}, epoch)
	require.NoError(t, err)
	require.Less(t, len(data), 200*40)
	decoded, err := decodeFrame(data, epoch)
	require.NoError(t, err)
	require.Equal(t, frame{callID: 5, isReply: true, message: response}, decoded)

	_, err = decodeFrame(append([]byte{0x1a, 5}, "wrong"...), epoch)
	require.ErrorIs(t, err, ErrInvalidFrame)
}
