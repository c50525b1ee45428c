package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/standin"
)

const fleetConfig = `{
	"Name": "Test",
	"FailureDomains": ["Rabat-A", "Rabat-B", "Rabat-C"],
	"Services": [
		{
			"Name": "Dossiers", "Kind": "Model", "Model": "dossier", "Version": "1",
			"Calls": [{"Name": "Review", "Idempotent": true, "Stream": true}],
			"Limits": {"InFlightPerTarget": 8, "LoadFactor": 1.5, "Queue": 200, "QueueWait": "15s"},
			"WarmUp": {"ColdLimit": 2, "RampRequests": 4},
			"Timeouts": {"FirstByte": "2s", "Gap": "1s", "Total": "30s"},
		},
		{
			"Name": "Treasury", "Kind": "Plain",
			"Calls": [{"Name": "ReleasePayment"}, {"Name": "CheckBalance", "Idempotent": true}],
			"Limits": {"InFlightPerTarget": 8, "Queue": 200, "QueueWait": "15s"},
			"Timeouts": {"FirstByte": "2s", "Gap": "1s", "Total": "30s"},
		},
	],
	// %s
	"Workspaces": [{"Name": "CaseOfficers", "Share": 1}],
}
`

// coldLimit is the ColdLimit in fleetConfig: the maximum number of requests in flight on
// a cold engine.
const coldLimit = 2

// fleetConfigWithNote returns the fleet configuration with a comment, which makes it a
// new version.
func fleetConfigWithNote(note string) string { return fmt.Sprintf(fleetConfig, note) }

// system is a cluster with its targets.
type system struct {
	*cluster
	engines    []*standin.Engine
	treasuries []*standin.PlainService
	callers    []string

	// useRelays puts a relay in front of each target.
	useRelays bool
	relays    []*standin.Blackhole
	// gap is the engines' time between tokens.
	gap time.Duration
}

// newSystem starts hosts, engines and treasuries and waits until all targets accept
// requests.
func newSystem(t *testing.T, hosts, replicas int, options ...func(*system)) *system {
	t.Helper()
	s := &system{cluster: newCluster(t, hosts, replicas), gap: time.Millisecond}
	for _, option := range options {
		option(s)
	}
	for _, n := range s.nodes {
		s.callers = append(s.callers, n.callers)
	}
	for i := range 6 {
		s.engines = append(s.engines, s.newEngine(i, 1))
	}
	for i := range 3 {
		s.treasuries = append(s.treasuries, s.newTreasury(i, 1))
	}
	s.apply(fleetConfigWithNote("first"))
	s.awaitTargets(s.nodes[0], "Dossiers", len(s.engines))
	s.awaitTargets(s.nodes[0], "Treasury", len(s.treasuries))
	return s
}

// withRelays puts a relay in front of each target.
func withRelays(s *system) { s.useRelays = true }

// withGap sets the engines' time between tokens.
func withGap(gap time.Duration) func(*system) { return func(s *system) { s.gap = gap } }

// announcedAddress returns the address that a target announces: its own or that of its
// relay.
func (s *system) announcedAddress(address string) string {
	if !s.useRelays {
		return address
	}
	relay, err := standin.NewBlackhole(address)
	require.NoError(s.t, err)
	s.t.Cleanup(relay.Close)
	s.relays = append(s.relays, relay)
	return relay.Address()
}

// newTreasury starts payment target i with the given incarnation.
func (s *system) newTreasury(i int, incarnation uint64) *standin.PlainService {
	treasury, err := standin.NewPlainService(clockwork.NewRealClock(), standin.PlainServiceSettings{
		Name: fmt.Sprintf("treasury-%d", i+1), FailureDomain: failureDomains[i], Service: "Treasury",
		Hosts: s.callers, Heartbeat: 300 * time.Millisecond, Incarnation: incarnation, Latency: 2 * time.Millisecond,
		AdvertiseAddress: s.announcedAddress,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(treasury.Close)
	return treasury
}

// newEngine starts engine i with the given incarnation.
func (s *system) newEngine(i int, incarnation uint64) *standin.Engine {
	engine, err := standin.NewEngine(clockwork.NewRealClock(), standin.EngineSettings{
		Name: fmt.Sprintf("engine-%d", i+1), FailureDomain: failureDomains[i%len(failureDomains)],
		Service: "Dossiers", Model: "dossier", Version: "1",
		Hosts: s.callers, Heartbeat: 300 * time.Millisecond, Incarnation: incarnation,
		CacheCapacityChats: 1000, ColdRequests: 4, ColdOverloadLimit: coldLimit,
		FirstByte: 10 * time.Millisecond, WarmFirstByte: 3 * time.Millisecond,
		ColdFirstByte: 30 * time.Millisecond, TokenInterval: s.gap, DefaultTokens: chatTokens,
		AdvertiseAddress: s.announcedAddress,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(engine.Close)
	return engine
}

// requireColdLimit requires that no cold engine exceeded its limit or crashed.
func (s *system) requireColdLimit() {
	s.t.Helper()
	for i, engine := range s.engines {
		require.LessOrEqual(s.t, engine.Stats().MaxColdInFlight, coldLimit, "engine %d while cold", i+1)
		require.Zero(s.t, engine.Stats().Crashes, "engine %d crashed", i+1)
	}
}

// requestsInDomain returns the number of requests that the engines of a failure domain
// have received.
func (s *system) requestsInDomain(domain string) int {
	requests := 0
	for i, engine := range s.engines {
		if failureDomains[i%len(failureDomains)] == domain {
			requests += engine.Stats().Requests
		}
	}
	return requests
}

// otherNodes returns the running hosts except one.
func (s *system) otherNodes(one *node) []*node {
	var others []*node
	for _, n := range s.runningNodes() {
		if n != one {
			others = append(others, n)
		}
	}
	return others
}

// replicaOf returns the ID of a host's state replica.
func (s *system) replicaOf(n *node) string {
	s.t.Helper()
	status, ok := s.status(s.leader())
	require.True(s.t, ok)
	for _, replica := range status.Replicas {
		if replica.Host == n.name {
			return replica.ID
		}
	}
	require.Fail(s.t, "no replica", n.name)
	return ""
}

// silentOnce makes a stand-in accept one request without responding.
var silentOnce = standin.Fault{Kind: standin.FaultNoResponse, Count: 1}

// paymentsInFlight returns the number of requests in flight on the treasuries.
func (s *system) paymentsInFlight() int {
	count := 0
	for _, treasury := range s.treasuries {
		count += treasury.InFlight()
	}
	return count
}

// requireRuns requires that a payment ran the wanted number of times on all treasuries
// together.
func (s *system) requireRuns(key string, wanted int) {
	s.t.Helper()
	runs := 0
	for _, treasury := range s.treasuries {
		runs += treasury.RunsByKey(key)
	}
	require.Equal(s.t, wanted, runs, "runs of %s", key)
}
