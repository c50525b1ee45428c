package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
)

// BenchmarkAcquire measures a whole decision among 204 engines on one of 141 hosts, with
// the state of each of them.
func BenchmarkAcquire(b *testing.B) {
	f := newFixture(b)
	f.selector.hosts.record(141)
	loads := map[string]int{}
	for i := range 204 {
		name := fmt.Sprint("e-", i)
		f.applyEntries(f.newRosterEntry(name, "engines", fmt.Sprint(i%3), 1))
		loads[name] = i % 7
	}
	f.selector.applyLoads(byKey(loads), 3, nil)
	prompt := &admission.Prompt{Tokens: 10_900, MaxOutputTokens: 300, Parts: []admission.PromptPart{{Key: 1, Tokens: 7000}, {Key: 2, Tokens: 3512}, {Key: 3, Tokens: 388}}}
	b.ReportAllocs()
	for b.Loop() {
		permit, err := f.selector.Acquire(b.Context(), admission.Request{ID: "r", Service: "engines", Prompt: prompt})
		require.NoError(b, err)
		f.selector.Release(admission.Release{Service: "engines", Target: permit.Target, Outcome: admission.OutcomeDone})
	}
}
