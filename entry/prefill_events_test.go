package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target/roster"
)

// prefillEvent changes engines in the course of a replay.
type prefillEvent func(r *prefillReplay, at time.Duration)

func (r *prefillReplay) play(length time.Duration, event prefillEvent) *prefillReplay {
	for at := time.Duration(0); at < length; at += prefillTick {
		event(r, at)
		r.tick(at)
	}
	return r
}

// slowPhases draws a seventh of the engines every 600 ms, which take 2.5 times as long.
func slowPhases(r *prefillReplay, at time.Duration) {
	if at%(600*time.Millisecond) != 0 {
		return
	}
	for _, e := range r.engines {
		e.slowdown = 1
		if r.random.IntN(7) == 0 {
			e.slowdown = 2.5
		}
	}
}

// crashes ends an engine every two seconds.
func crashes(r *prefillReplay, at time.Duration) {
	if at%(2*time.Second) == 0 && at > 10*time.Second {
		live := r.live()
		r.crash(live[r.random.IntN(len(live))])
	}
}

// release replaces one engine after the other by a new one, which starts first.
func release(r *prefillReplay, at time.Duration) {
	step, index := int(at/time.Second)%2, int(at/time.Second-10)/2
	if at%time.Second != 0 || at < 10*time.Second || index >= prefillEngines {
		return
	}
	e := r.engines[index]
	if step == 0 {
		r.start(e.domain)
		e.state = roster.Leaving
		r.announce(e)
		return
	}
	e.down, e.state = true, roster.Gone
	r.announce(e)
}

// Guards against shared parts being prefilled again although an engine holds them: for new
// prompts with a known first part, after crashes and in a release.
func TestPrefillReplay_SharedPartsAreCopied(t *testing.T) {
	for _, run := range []struct {
		name  string
		hosts int
		event prefillEvent
		// most is the largest part of the tokens that are still prefilled again.
		most float64
	}{
		{"slow phases", 30, slowPhases, 0.4},
		{"crashes", 30, crashes, 0.5},
		{"release", 30, release, 0.5},
	} {
		with := newPrefillReplay(t, run.hosts, true).play(replayLength, run.event)
		without := newPrefillReplay(t, run.hosts, true)
		without.former = true
		without.play(replayLength, run.event)
		for _, r := range []*prefillReplay{with, without} {
			t.Logf("%d hosts, %s, former sources %t: %d requests, %dk tokens cached, %dk transferred, %dk first, %dk again, %d overloaded, %d lost: %v",
				run.hosts, run.name, r.former, r.requests, r.cached/1000, r.transferred/1000, r.first/1000, r.again/1000, r.overloaded, r.lost, r.reasons)
		}
		require.Less(t, float64(with.again), run.most*float64(without.again), run.name)
		require.LessOrEqual(t, float64(with.overloaded), 0.03*float64(with.requests))
	}
}
