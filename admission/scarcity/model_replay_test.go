package scarcity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// modelLoad is a load on engines that run a request for 2 s in each slot: 60 engines in the
// fleet of which 6 with 64 slots serve the service, and 30 hosts. They can run 192
// requests a second.
func modelLoad(perSecond float64) replayConfig {
	return replayConfig{
		kind: ModelService, targets: 6, slots: 64, queue: 1000, work: 2 * time.Second, hosts: 30, perSecond: perSecond, workspaces: 24, ranked: 4, flooding: 9,
		kinds: []replayKind{
			{name: "chats", part: 0.6, priority: 1, once: true, objective: 4 * time.Second, timeout: 20 * time.Second},
			{name: "summaries", part: 0.4, priority: 3, objective: 8 * time.Second, timeout: 30 * time.Second},
		},
		floodFactor: 7.5, floodAt: 12 * time.Second, floodDuration: 8 * time.Second, crashAt: 30 * time.Second, crashDuration: 4 * time.Second,
		length: 45 * time.Second, seed: 1,
	}
}

// Guards against a model service without admission under load: engines take more than they
// have slots for, urgent requests wait behind others, requests wait in vain, and a
// workspace, session or size of prompt starves.
func TestModelReplay_EnginesAreNotOverloaded(t *testing.T) {
	for seed := range uint64(3) {
		config := modelLoad(230)
		config.seed = seed
		r := runReplay(config)
		t.Logf("served %.3f, in time %.3f, ranks 0, 1, 3: %.3f %.3f %.3f, waited %d, of them placed %d, refused %d, needlessly %d, most on one engine %d", r.total.share(), float64(r.total.inTime)/float64(r.total.all),
			r.byRank[0].share(), r.byRank[-1].share(), r.byRank[-3].share(), r.waited, r.placed, r.refusals, r.needlessly, r.most)
		require.Greater(t, r.byRank[0].share(), 0.93)
		require.Greater(t, r.byRank[-1].share(), r.byRank[-3].share()-0.05)
		require.Greater(t, r.byRank[-3].share(), 0.25*r.total.share())
		require.Less(t, r.most, 2*config.slots, "engines queue little")
		for name, o := range r.byWorkspace {
			require.Greater(t, o.share(), 0.25*r.total.share(), "%s starves", name)
		}
		for session, o := range r.bySession {
			require.Greater(t, o.share(), 0.25*r.total.share(), "session %d starves", session)
		}
		for size, o := range r.bySize {
			require.Greater(t, o.share(), 0.25*r.total.share(), "size %d starves", size)
		}
		require.Greater(t, float64(r.placed), 0.9*float64(r.waited), "what waits gets a place")
		require.Zero(t, r.needlessly)
	}
}

// Guards against refusals by a model service with room for all.
func TestModelReplay_NothingIsRefusedWithRoom(t *testing.T) {
	config := modelLoad(110)
	config.crashDuration = 0
	r := runReplay(config)
	require.Zero(t, r.refusals)
	require.Zero(t, r.waited)
}
