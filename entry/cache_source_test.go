package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
)

// Guards against the prefix cache of a target that has restarted being taken for that of its
// last incarnation: the prompt would be prefilled there although others hold it.
func TestAcquire_RestartedTargetHasCachedNothing(t *testing.T) {
	f := newFixture(t)
	names := []string{"e-1", "e-2", "e-3"}
	for _, name := range names {
		f.applyEntries(f.newRosterEntry(name, "engines", "a", 1))
	}
	prompt := &admission.Prompt{Parts: []admission.PromptPart{{Key: 1, Tokens: 7000}, {Key: 2, Tokens: 3512}, {Key: 3, Tokens: 80}}}
	send := func(exclude ...string) admission.Permit {
		permit, err := f.selector.Acquire(t.Context(), admission.Request{ID: "r", Service: "engines", Prompt: prompt, Exclude: exclude})
		require.NoError(t, err)
		f.release(permit, admission.OutcomeDone)
		return permit
	}
	home := send()
	require.Empty(t, home.CacheSource)
	require.Zero(t, home.Inputs.CachedTokens)
	other := send(home.Target)
	require.Equal(t, home.Address, other.CacheSource)
	require.Positive(t, send().Inputs.CachedTokens)

	restarted := f.newRosterEntry(home.Target, "engines", "a", 1)
	restarted.Incarnation = 2
	f.applyEntries(restarted)
	again := send(without(names, home.Target)...)
	require.Equal(t, home.Target, again.Target)
	require.Zero(t, again.Inputs.CachedTokens)
	require.Equal(t, other.Address, again.CacheSource, "the other one holds the prompt")
}

// without returns the names except one.
func without(names []string, name string) []string {
	var others []string
	for _, other := range names {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}
