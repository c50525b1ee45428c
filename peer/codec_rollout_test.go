package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission/rollout"
)

// sampleRollouts returns what a host reports after 20 requests on three routes.
func sampleRollouts() []rollout.ServiceReport {
	observer := rollout.NewObserver()
	for i := range 20 {
		route := []string{"stream", "look", "pay"}[i%3]
		observer.RecordRequest("engines", 7, i%10 == 0)
		observer.RecordFirstByte("engines", 7, route, i%10 == 0, time.Duration(7*i)*time.Millisecond)
	}
	observer.RecordFailure("engines", 7, "pay", true, rollout.Failure{IsLost: true})
	observer.RecordNotRun("engines", 7, "pay", false)
	return observer.TakeReport().Services
}

// Guards against counts that are lost on the wire, and against new bytes where there are none.
func TestRolloutReports_AreSentWhole(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, message := range []Message{
		WatchRequest{Host: "e", Rollout: rollout.Report{Services: sampleRollouts()}},
		RosterUpdate{Host: "h", Rollouts: sampleRollouts(), RolloutSource: 9, RolloutVersion: 12},
	} {
		encoded, err := encodeFrame(frame{message: message}, now)
		require.NoError(t, err)
		decoded, err := decodeFrame(encoded, now)
		require.NoError(t, err)
		require.Equal(t, message, decoded.message)
	}
}

// BenchmarkRolloutReport measures what the report of a host adds to a poll: its bytes, and the
// time to encode and decode the poll with it and without.
func BenchmarkRolloutReport(b *testing.B) {
	now := time.Unix(1000, 0)
	for name, request := range map[string]WatchRequest{
		"without": {Host: "entry-1"}, "with": {Host: "entry-1", Rollout: rollout.Report{Services: sampleRollouts()}},
	} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				encoded, err := encodeFrame(frame{message: request}, now)
				if err != nil {
					b.Fatal(err)
				}
				if _, err = decodeFrame(encoded, now); err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "B/poll")
		})
	}
}
