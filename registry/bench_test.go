package registry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// largeFleetConfig returns a fleet configuration with the given number of
// workspaces, one per line.
func largeFleetConfig(workspaces int) string {
	var b strings.Builder
	b.WriteString("{\n\t\"Name\": \"large\",\n\t\"FailureDomains\": [\"north\", \"south\", \"west\"],\n\t\"Services\": [\n")
	for i := range 22 {
		fmt.Fprintf(&b, "\t\t{\"Name\": \"service-%d\", \"Kind\": \"Model\", \"Model\": \"m%d\", \"Calls\": [{\"Name\": \"Ask\", \"Idempotent\": true}]},\n", i, i)
	}
	b.WriteString("\t],\n\t\"Workspaces\": [\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "\t\t// Workspace %d, contract %06d.\n", i, i*7)
		fmt.Fprintf(&b, "\t\t{\"Name\": \"workspace-%d\", \"Share\": %d, \"Services\": [\"service-%d\", \"service-%d\"]},\n", i, 1+i%9, i%22, (i+5)%22)
	}
	b.WriteString("\t],\n}\n")
	return b.String()
}

// newSizedReplica returns a replica with the given number of sessions and
// workspaces.
func newSizedReplica(b *testing.B, hosts, workspaces int) *replica {
	r := newReplica()
	for i := range hosts {
		r.mustOpenSession(b, fmt.Sprintf("host-%d", i), testDomains[i%3], uint64(i))
	}
	require.NoError(b, r.applyFleetConfig(b, "fleet", 0, largeFleetConfig(workspaces)).Err())
	return r
}

// openAndFinishClaim opens and finishes one claim. It returns the total encoded
// size of both commands.
func (r *replica) openAndFinishClaim(session, attempt uint64) int {
	key := ClaimKey{Workspace: "treasury-desk", Service: "Treasury", Key: fmt.Sprintf("3f2b8c1e-%012d", attempt)}
	openBytes := EncodeCommand(OpenClaim{Key: key, Fingerprint: attempt * 0x9e3779b97f4a7c15, Session: session, Attempt: attempt, Time: testStart})
	finishBytes := EncodeCommand(FinishClaim{
		Key: key, Session: session, Attempt: attempt, Time: testStart,
		Response: Response{Status: 200, ContentType: "application/json", Body: []byte(`{"Payment":"` + key.Key + `","State":"Released"}`)},
	})
	r.index++
	r.Apply(r.index, r.term, openBytes)
	r.index++
	r.Apply(r.index, r.term, finishBytes)
	return len(openBytes) + len(finishBytes)
}

func BenchmarkApply(b *testing.B) {
	r := newSizedReplica(b, 18, 10)
	session := r.View().Hosts["host-0"].Session
	bytes, attempt := 0, uint64(0)
	for b.Loop() {
		attempt++
		bytes += r.openAndFinishClaim(session, attempt)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*attempt), "ns/command")
	b.ReportMetric(float64(bytes)/float64(2*attempt), "bytes/command")
}

func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ hosts, workspaces, claims int }{{18, 10, 1000}, {390, 8400, 100_000}} {
		b.Run(fmt.Sprintf("%d hosts, %d claims", size.hosts, size.claims), func(b *testing.B) {
			r := newSizedReplica(b, size.hosts, size.workspaces)
			session := r.View().Hosts["host-0"].Session
			for i := range size.claims {
				r.openAndFinishClaim(session, uint64(i+1))
			}
			var snapshot []byte
			for b.Loop() {
				snapshot, _ = r.Snapshot()
			}
			b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/snapshot")
			b.ReportMetric(float64(len(snapshot)), "bytes/snapshot")
		})
		b.Run(fmt.Sprintf("restore %d hosts, %d claims", size.hosts, size.claims), func(b *testing.B) {
			r := newSizedReplica(b, size.hosts, size.workspaces)
			session := r.View().Hosts["host-0"].Session
			for i := range size.claims {
				r.openAndFinishClaim(session, uint64(i+1))
			}
			snapshot, err := r.Snapshot()
			require.NoError(b, err)
			for b.Loop() {
				require.NoError(b, r.Restore(snapshot))
			}
			b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "ms/restore")
		})
	}
}

// BenchmarkDelta reports the size of the delta that a change sends to each host,
// compared with the size of the whole view.
func BenchmarkDelta(b *testing.B) {
	for _, size := range []struct{ hosts, workspaces int }{{18, 10}, {390, 8400}} {
		b.Run(fmt.Sprintf("one line of %d workspaces", size.workspaces), func(b *testing.B) {
			r := newSizedReplica(b, size.hosts, size.workspaces)
			before := r.View()
			changed := strings.Replace(string(before.FleetConfig), `"workspace-7", "Share": 8`, `"workspace-7", "Share": 3`, 1)
			require.NoError(b, r.applyFleetConfig(b, "edit", 1, changed).Err())
			reportDelta(b, r, before)
		})
		b.Run(fmt.Sprintf("one session of %d hosts", size.hosts), func(b *testing.B) {
			r := newSizedReplica(b, size.hosts, size.workspaces)
			before := r.View()
			r.mustOpenSession(b, "host-new", "north", 1)
			reportDelta(b, r, before)
		})
	}
}

func reportDelta(b *testing.B, r *replica, before *View) {
	var encoded []byte
	for b.Loop() {
		encoded = r.DeltaSince(before.Revision, before.FleetVersion).Encode()
	}
	delta, err := DecodeDelta(encoded)
	require.NoError(b, err)
	next, err := delta.Apply(before)
	require.NoError(b, err)
	require.Equal(b, r.View().FleetConfig, next.FleetConfig)
	b.ReportMetric(float64(len(encoded)), "bytes/delta")
	b.ReportMetric(float64(len(r.DeltaSince(0, 0).Encode())), "whole-bytes/delta")
}
