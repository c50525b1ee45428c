package integration

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Engines come back as new incarnations again and again, with and without their
// prefix memory, and turn cold without a word.
func TestFlappingTargets(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.balanced, 8, 4)
	l.served(100)
	for i, engine := range s.engines {
		engine.CrashAndRestart(i%2 == 0)
		l.served(10)
		engine.CrashAndRestart(i%2 == 1)
		l.served(10)
	}
	s.awaitTargets(s.nodes[0], "Dossiers", len(s.engines))
	s.checkCold()
	// What is in flight when an engine turns cold, and what is sent before its
	// next report, can pass the cold limit: nobody has been told. The engine may
	// fall over then; the answers must be whole all the same.
	for _, engine := range s.engines {
		engine.SetCold()
		l.served(10)
	}
	for i, engine := range s.engines {
		eventually(t, fmt.Sprintf("engine %d is warm again", i+1), func() bool { return !engine.Cold() })
	}
	l.finish(s.treasuries...)
	require.Zero(t, l.unknown.Load(), "payments in doubt though no treasury failed")
}
