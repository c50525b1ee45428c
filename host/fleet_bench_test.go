package host

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/settings"
)

const benchKey = "the key of the benchmarks"

// testFleet is a fleet of hosts in one process that communicate over loopback.
type testFleet struct {
	tb    testing.TB
	hosts []*Host
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// startFleet starts count hosts. The first one bootstraps the cluster; further
// replicas are added as members.
func startFleet(tb testing.TB, count, replicas int) *testFleet {
	tb.Helper()
	ctx, stop := context.WithCancel(context.Background())
	f := &testFleet{tb: tb, stop: stop}
	tb.Cleanup(f.close)
	dir := tb.TempDir()
	for i := range count {
		s := &settings.Settings{
			Host:          fmt.Sprintf("host-%d", i+1),
			FailureDomain: fmt.Sprintf("Domain-%d", i%3+1),
			Callers:       "127.0.0.1:0",
			Peers:         "127.0.0.1:0",
			Admin:         "127.0.0.1:0",
			OwnsServices:  true,
		}
		if i > 0 {
			s.StateReplicas = []string{f.hosts[0].Settings.Peers}
		}
		if i < replicas {
			s.State = &settings.State{Folder: filepath.Join(dir, s.Host), Cluster: "Bench"}
			require.NoError(tb, os.MkdirAll(s.State.Folder, 0o700))
		}
		f.start(ctx, s, i == 0)
	}
	for _, h := range f.hosts {
		f.await("a valid lease on "+h.Settings.Host, func() bool { return h.session.Check() == nil })
	}
	f.addReplicas(replicas)
	return f
}

func (f *testFleet) start(ctx context.Context, s *settings.Settings, bootstrap bool) {
	log, err := logs.New(benchLogWriter(), "info", "text")
	require.NoError(f.tb, err)
	h, err := New(Dependencies{
		Settings:  s,
		Key:       []byte(benchKey),
		Clock:     clockwork.NewRealClock(),
		Log:       log,
		Scope:     tally.NoopScope,
		Bootstrap: bootstrap,
	})
	require.NoError(f.tb, err)
	f.hosts = append(f.hosts, h)
	f.done.Go(func() { _ = h.Run(ctx) })
}

func (f *testFleet) addReplicas(replicas int) {
	f.tb.Helper()
	for i := 1; i < replicas; i++ {
		o := &operatorService{host: f.hosts[0]}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_, err := o.ChangeReplica(ctx, &operatorpb.ReplicaRequest{Change: string(peer.MemberAdd), Address: f.hosts[i].Settings.Peers})
		require.NoError(f.tb, err)
		cancel()
	}
}

func (f *testFleet) close() {
	f.stop()
	f.done.Wait()
}

func (f *testFleet) await(what string, condition func() bool) {
	f.tb.Helper()
	require.Eventually(f.tb, condition, time.Minute, time.Millisecond, what)
}

// fleetConfig returns a fleet configuration that differs from others by a
// number in a comment.
func (f *testFleet) fleetConfig(n int) []byte {
	return fmt.Appendf(nil, `{
	// %d
	"Name": "Bench",
	"FailureDomains": ["Domain-1", "Domain-2", "Domain-3"],
	"Services": [
		{"Name": "Chats", "Kind": "Model", "Model": "m", "Version": "1",
			"Calls": [{"Name": "Ask", "Idempotent": true, "Stream": true}]},
		{"Name": "Treasury", "Kind": "Plain", "Calls": [{"Name": "Pay"}]},
	],
	"Workspaces": [{"Name": "One"}],
}
`, n)
}

// apply commits a configuration and returns its version.
func (f *testFleet) apply(n int) uint64 {
	f.tb.Helper()
	h := f.hosts[0]
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	result, err := h.session.Propose(ctx, registry.ApplyFleet{
		Operation:   registry.Operation{ID: fmt.Sprintf("op-%d", n), Time: h.Clock.Now()},
		BaseVersion: h.state.machine.View().FleetVersion,
		Config:      f.fleetConfig(n),
	})
	require.NoError(f.tb, err)
	require.NoError(f.tb, result.Err())
	return result.Version
}

// waitInForce waits until every host has applied the version and returns the
// time since start.
func (f *testFleet) waitInForce(version uint64, start time.Time) time.Duration {
	for _, h := range f.hosts {
		for {
			view, changed := h.session.Watch()
			if view.FleetVersion >= version {
				break
			}
			<-changed
		}
	}
	return time.Since(start)
}

// benchLogWriter discards the log output unless the -test.v flag is set.
func benchLogWriter() io.Writer {
	if testing.Verbose() {
		return os.Stderr
	}
	return io.Discard
}
