package integration

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Engines restart repeatedly as new incarnations, with and without their prefix cache,
// and become cold without reporting it. Guards against truncated responses and
// payments in doubt.
func TestFlappingTargets(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.readyNodes, 8, 4)
	l.awaitChats(100)
	for i, engine := range s.engines {
		engine.CrashAndRestart(i%2 == 0)
		l.awaitChats(10)
		engine.CrashAndRestart(i%2 == 1)
		l.awaitChats(10)
	}
	s.awaitTargets(s.nodes[0], "Dossiers", len(s.engines))
	s.requireColdLimit()
	// Requests that are in flight when an engine becomes cold, or that are sent before
	// its next load report, may exceed the cold limit. The engine may then crash, but
	// the responses must still be complete.
	for _, engine := range s.engines {
		engine.SetCold()
		l.awaitChats(10)
	}
	for i, engine := range s.engines {
		eventually(t, fmt.Sprintf("engine %d is warm again", i+1), func() bool { return !engine.Cold() })
	}
	l.finish(s.treasuries...)
	require.Zero(t, l.unknown.Load(), "payments in doubt although no treasury failed")
}
