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
	treasuries []*standin.Plain
}

// newSystem starts hosts, engines and treasuries and waits until all serve.
func newSystem(t *testing.T, hosts, replicas int) *system {
	t.Helper()
	s := &system{cluster: newCluster(t, hosts, replicas)}
	var callers []string
	for _, n := range s.nodes {
		callers = append(callers, n.callers)
	}
	for i := range 6 {
		s.engines = append(s.engines, s.newEngine(fmt.Sprintf("engine-%d", i+1), domains[i%len(domains)], callers))
	}
	for i := range 3 {
		treasury, err := standin.NewPlain(clockwork.NewRealClock(), standin.PlainSettings{
			Name: fmt.Sprintf("treasury-%d", i+1), FailureDomain: domains[i], Service: "Treasury",
			Hosts: callers, Heartbeat: 300 * time.Millisecond, Incarnation: 1, Latency: 2 * time.Millisecond,
		})
		require.NoError(t, err)
		t.Cleanup(treasury.Close)
		s.treasuries = append(s.treasuries, treasury)
	}
	s.apply(fleetVersionText("first"))
	s.awaitTargets(s.nodes[0], "Dossiers", len(s.engines))
	s.awaitTargets(s.nodes[0], "Treasury", len(s.treasuries))
	return s
}

func (s *system) newEngine(name, domain string, callers []string) *standin.Engine {
	engine, err := standin.NewEngine(clockwork.NewRealClock(), standin.EngineSettings{
		Name: name, FailureDomain: domain, Service: "Dossiers", Model: "dossier", Version: "1",
		Hosts: callers, Heartbeat: 300 * time.Millisecond, Incarnation: 1,
		CachedChats: 1000, ColdRequests: 4, ColdBears: coldLimit,
		FirstByte: 10 * time.Millisecond, WarmFirstByte: 3 * time.Millisecond,
		ColdFirstByte: 30 * time.Millisecond, Gap: time.Millisecond, Tokens: chatTokens,
	})
	require.NoError(s.t, err)
	s.t.Cleanup(engine.Close)
	return engine
}

// checkCold checks that no cold engine got more than it bears.
func (s *system) checkCold() {
	s.t.Helper()
	for i, engine := range s.engines {
		require.LessOrEqual(s.t, engine.Stats().MaxCold, coldLimit, "engine %d while cold", i+1)
		require.Zero(s.t, engine.Stats().Falls, "engine %d fell over", i+1)
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
