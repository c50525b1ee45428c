package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/standin"
)

const fleetText = `{
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

// coldLimit is the cold limit in fleetText.
const coldLimit = 2

func fleetVersionText(note string) string { return fmt.Sprintf(fleetText, note) }

// system is a cluster with its targets.
type system struct {
	*cluster
	engines    []*standin.Engine
	treasuries []*standin.PlainService
	callers    []string

	// relayed puts a relay before each target.
	relayed bool
	relays  []*standin.Blackhole
	// gap is the engines' time between tokens.
	gap time.Duration
}

// newSystem starts hosts, engines and treasuries and waits until all serve.
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
	s.apply(fleetVersionText("first"))
	s.awaitTargets(s.nodes[0], "Dossiers", len(s.engines))
	s.awaitTargets(s.nodes[0], "Treasury", len(s.treasuries))
	return s
}

// withRelays puts a relay before each target.
func withRelays(s *system) { s.relayed = true }

// withGap sets the engines' time between tokens.
func withGap(gap time.Duration) func(*system) { return func(s *system) { s.gap = gap } }

// announce returns the address that a target announces: its own or a relay's.
func (s *system) announce(address string) string {
	if !s.relayed {
		return address
	}
	relay, err := standin.NewBlackhole(address)
	require.NoError(s.t, err)
	s.t.Cleanup(relay.Close)
	s.relays = append(s.relays, relay)
	return relay.Address()
}

// newTreasury starts the payments' target i as an incarnation.
func (s *system) newTreasury(i int, incarnation uint64) *standin.PlainService {
	treasury, err := standin.NewPlainService(clockwork.NewRealClock(), standin.PlainServiceSettings{
		Name: fmt.Sprintf("treasury-%d", i+1), FailureDomain: domains[i], Service: "Treasury",
		Hosts: s.callers, Heartbeat: 300 * time.Millisecond, Incarnation: incarnation, Latency: 2 * time.Millisecond,
		AdvertiseAddress: s.announce,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(treasury.Close)
	return treasury
}

// newEngine starts the engine i as an incarnation.
func (s *system) newEngine(i int, incarnation uint64) *standin.Engine {
	engine, err := standin.NewEngine(clockwork.NewRealClock(), standin.EngineSettings{
		Name: fmt.Sprintf("engine-%d", i+1), FailureDomain: domains[i%len(domains)],
		Service: "Dossiers", Model: "dossier", Version: "1",
		Hosts: s.callers, Heartbeat: 300 * time.Millisecond, Incarnation: incarnation,
		CacheCapacityChats: 1000, ColdRequests: 4, ColdOverloadLimit: coldLimit,
		FirstByte: 10 * time.Millisecond, WarmFirstByte: 3 * time.Millisecond,
		ColdFirstByte: 30 * time.Millisecond, TokenInterval: s.gap, DefaultTokens: chatTokens,
		AdvertiseAddress: s.announce,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(engine.Close)
	return engine
}

// checkCold checks that no cold engine got more than it bears.
func (s *system) checkCold() {
	s.t.Helper()
	for i, engine := range s.engines {
		require.LessOrEqual(s.t, engine.Stats().MaxColdInFlight, coldLimit, "engine %d while cold", i+1)
		require.Zero(s.t, engine.Stats().Crashes, "engine %d fell over", i+1)
	}
}

// requestsIn returns the number of requests that the engines of a failure
// domain have been given.
func (s *system) requestsIn(domain string) int {
	requests := 0
	for i, engine := range s.engines {
		if domains[i%len(domains)] == domain {
			requests += engine.Stats().Requests
		}
	}
	return requests
}

// others returns the hosts that run, but for one.
func (s *system) others(one *node) []*node {
	var others []*node
	for _, n := range s.up() {
		if n != one {
			others = append(others, n)
		}
	}
	return others
}

// replicaOf returns the identity of a host's state replica.
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

// silentOnce makes a stand-in take one request and answer nothing.
var silentOnce = standin.Fault{Kind: standin.FaultNoResponse, Count: 1}

// paying returns the number of requests that run on the treasuries.
func (s *system) paying() int {
	n := 0
	for _, treasury := range s.treasuries {
		n += treasury.InFlight()
	}
	return n
}

// requireRuns checks how often a payment ran, by all ledgers.
func (s *system) requireRuns(key string, wanted int) {
	s.t.Helper()
	runs := 0
	for _, treasury := range s.treasuries {
		runs += treasury.RunsByKey(key)
	}
	require.Equal(s.t, wanted, runs, "runs of %s", key)
}
