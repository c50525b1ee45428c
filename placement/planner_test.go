package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var _ = rapid.Check

func TestColdFleetReachesMinimums(t *testing.T) {
	text := textOf(service("Reviews", "large", "1", 4, 3), service("Answers", "small", "1", 3, 2))
	f := newFakeFleet(text, engines(9, "a", "b", "c"))
	f.run(200)
	require.GreaterOrEqual(t, f.ready("Reviews"), 4)
	require.GreaterOrEqual(t, f.ready("Answers"), 3)
	require.Equal(t, 9, f.ready("Reviews")+f.ready("Answers"))
	require.Equal(t, 2, f.mostLoads)
	require.Empty(t, f.recorded)
	sent := len(f.sent)
	f.run(600)
	require.Len(t, f.sent, sent, "a settled fleet gets no orders")
}
