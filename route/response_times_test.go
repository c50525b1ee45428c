package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// plainReplay sends requests of several hosts to the targets of a plain service, which
// report no load. Each target has 6 slots and a queue.
type plainReplay struct {
	targets, hosts int
	// perSecond is the number of requests per second of all hosts.
	perSecond float64
	// spread is the standard deviation of the logarithm of the work times.
	spread float64
	// slow is the slowdown of a target that is slow; isSlow tells which are, at a time.
	slow   float64
	isSlow func(target int, at time.Duration) bool
	ignore bool
}

type plainResult struct {
	meanTime  float64
	p95       time.Duration
	choices   []int
	slowdowns int
	decisions int
	// swing is the mean change of the share of a target from one half second to the next.
	swing float64
}

type plainRequest struct {
	host, target int
	sentAt       time.Duration
	own, others  float64
	left         time.Duration
}

func (r plainReplay) run(length time.Duration) plainResult {
	const slots, tick, work = 6, 2 * time.Millisecond, 40 * time.Millisecond
	costs := LocalCosts{InFlight: 5 * time.Millisecond, Queued: 20 * time.Millisecond, Overload: 20 * time.Millisecond}
	// The arrivals and their work must not depend on the choices.
	arrivals, points := rand.New(rand.NewPCG(11, 12)), rand.New(rand.NewPCG(13, 14))
	services, times := make([]ServiceTimes, r.hosts), make([][]TargetTimes, r.hosts)
	own, usual, running := make([][]float64, r.hosts), make([][]float64, r.hosts), make([][]*plainRequest, r.targets)
	for h := range times {
		times[h], own[h], usual[h] = make([]TargetTimes, r.targets), make([]float64, r.targets), make([]float64, r.targets)
	}
	targets := localTargets(r.targets)
	result, total := plainResult{}, time.Duration(0)
	var all []time.Duration
	shares, before := make([]float64, r.targets), make([]float64, r.targets)
	for at := time.Duration(0); at < length; at += tick {
		now := replayStart.Add(at)
		if at%(500*time.Millisecond) == 0 {
			sum := 0.0
			for i := range shares {
				sum += shares[i]
			}
			for i := range shares {
				shares[i] /= max(sum, 1)
				result.swing += math.Abs(shares[i]-before[i]) / float64(r.targets) / (length.Seconds() * 2)
				before[i], shares[i] = shares[i], 0
			}
			// As in entry, the requests of other hosts, which are shorter than a digest is
			// old, are estimated by what they usually are.
			for i := range running {
				for h := range usual {
					weight := 1 - math.Exp(-0.5/2)
					usual[h][i] += (float64(len(running[i])) - own[h][i] - usual[h][i]) * weight
				}
			}
		}
		for n := r.perSecond * tick.Seconds(); n > 0; n-- {
			if arrivals.Float64() >= n {
				continue
			}
			host := arrivals.IntN(r.hosts)
			need := time.Duration(float64(work) * math.Exp(arrivals.NormFloat64()*r.spread))
			view := make([]LocalTarget, r.targets)
			for i := range view {
				view[i] = targets[i]
				view[i].SameDomain, view[i].Slots, view[i].InFlight = i%3 == host%3, slots, usual[host][i]+own[host][i]
				if slowdown := services[host].Slowdown(now, &times[host][i], PlainDifference); slowdown != 1 {
					result.slowdowns++
					if !r.ignore {
						view[i].Slowdown = slowdown
					}
				}
			}
			choice := ChooseLocal(0, points.Uint64(), Traffic{ReportAge: 600 * time.Millisecond, Duration: work}, 0, view, &costs)
			result.choices = append(result.choices, choice.Target)
			result.decisions++
			if r.isSlow(choice.Target, at) {
				need = time.Duration(float64(need) * r.slow)
			}
			running[choice.Target] = append(running[choice.Target], &plainRequest{
				host: host, target: choice.Target, sentAt: at, own: own[host][choice.Target] + 1, others: usual[host][choice.Target], left: need,
			})
			own[host][choice.Target]++
			shares[choice.Target]++
		}
		for i := range running {
			kept := running[i][:0]
			for position, request := range running[i] {
				if position < slots {
					request.left -= tick
				}
				if request.left > 0 {
					kept = append(kept, request)
					continue
				}
				took := at + tick - request.sentAt
				total, all = total+took, append(all, took)
				own[request.host][i]--
				work, isCertain := WorkTime(took, request.own, request.others, slots)
				services[request.host].Observe(now, &times[request.host][i], work, isCertain, 0)
			}
			running[i] = kept
		}
	}
	result.meanTime = total.Seconds() / float64(len(all)) / work.Seconds()
	result.p95 = percentile(all, 0.95)
	return result
}

func neverSlow(int, time.Duration) bool { return false }

// Guards against a change of earlier deployments: between equal targets the choices are the
// same as without response times.
func TestServiceTimes_EqualTargetsGetSameChoices(t *testing.T) {
	for _, spread := range []float64{0.1, 0.5, 1} {
		for _, hosts := range []int{1, 15} {
			replay := plainReplay{targets: 3, hosts: hosts, perSecond: 250, spread: spread, isSlow: neverSlow}
			with := replay.run(60 * time.Second)
			replay.ignore = true
			without := replay.run(60 * time.Second)
			differ := 0
			for i := range with.choices {
				if with.choices[i] != without.choices[i] {
					differ++
				}
			}
			require.Zero(t, differ, "spread %.1f, %d hosts: choices of %d that differ, with %d slowdowns", spread, hosts, with.decisions, with.slowdowns)
		}
	}
}

// A seventh of the targets take 2.5 times as long for some hundred milliseconds, or those
// of one failure domain 1.3 times as long all the time. A host that sees all requests avoids
// them; hosts that see few of them must not send the rest back and forth.
func TestServiceTimes_SlowTargetsAreAvoidedWithoutOscillation(t *testing.T) {
	phases := func(target int, at time.Duration) bool {
		return rand.New(rand.NewPCG(uint64(at/(600*time.Millisecond)), uint64(target))).IntN(7) == 0
	}
	domain := func(target int, _ time.Duration) bool { return target%3 == 0 }
	for _, run := range []struct {
		name   string
		replay plainReplay
		// gain is the least part of the mean time that is gained.
		gain float64
	}{
		{"phases, 1 host", plainReplay{hosts: 1, perSecond: 250, slow: 2.5, isSlow: phases}, 0.008},
		{"phases, 5 hosts", plainReplay{hosts: 5, perSecond: 250, slow: 2.5, isSlow: phases}, -0.01},
		{"phases, 15 hosts", plainReplay{hosts: 15, perSecond: 250, slow: 2.5, isSlow: phases}, -0.01},
		{"domain, 1 host", plainReplay{hosts: 1, perSecond: 100, slow: 1.3, isSlow: domain}, 0.03},
		{"domain, 1 host under load", plainReplay{hosts: 1, perSecond: 330, slow: 1.3, isSlow: domain}, 0.01},
		{"domain, 15 hosts", plainReplay{hosts: 15, perSecond: 200, slow: 1.3, isSlow: domain}, -0.01},
	} {
		replay := run.replay
		replay.targets, replay.spread = 3, 0.3
		with := replay.run(60 * time.Second)
		replay.ignore = true
		without := replay.run(60 * time.Second)
		t.Logf("%s: mean time %.3f with response times, %.3f without; p95 %v and %v; swing %.3f and %.3f; %d slowdowns in %d decisions",
			run.name, with.meanTime, without.meanTime, with.p95, without.p95, with.swing, without.swing, with.slowdowns, with.decisions)
		require.LessOrEqual(t, with.meanTime, (1-run.gain)*without.meanTime, run.name)
		require.LessOrEqual(t, with.swing, without.swing+0.02, run.name)
	}
}

func TestServiceTimes_SlowdownStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var service ServiceTimes
		targets := make([]TargetTimes, 3)
		now := replayStart
		for range rapid.IntRange(0, 200).Draw(t, "responses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond)
			at := &targets[rapid.IntRange(0, 2).Draw(t, "target")]
			service.Observe(now, at, time.Duration(rapid.Int64().Draw(t, "work")), rapid.Bool().Draw(t, "certain"), rapid.Float64().Draw(t, "told"))
			for i := range targets {
				slowdown := service.Slowdown(now, &targets[i], PlainDifference)
				require.GreaterOrEqual(t, slowdown, MinSlowdown)
				require.LessOrEqual(t, slowdown, float64(MaxSlowdown))
			}
		}
	})
}

// A target that gets no more requests because it was slow must be tried again.
func TestServiceTimes_SlownessIsForgotten(t *testing.T) {
	var service ServiceTimes
	targets := make([]TargetTimes, 3)
	now := replayStart
	respond := func(count int, slow int, only func(i int) int) {
		for i := range count {
			now = now.Add(10 * time.Millisecond)
			work := 40*time.Millisecond + time.Duration(i%5)*time.Millisecond
			if only(i) == slow {
				work *= 5
				work /= 2
			}
			service.Observe(now, &targets[only(i)], work, true, 0)
		}
	}
	respond(3000, None, func(i int) int { return i % 3 })
	require.Equal(t, 1.0, service.Slowdown(now, &targets[0], PlainDifference))
	respond(60, 0, func(i int) int { return i % 3 })
	require.Greater(t, service.Slowdown(now, &targets[0], PlainDifference), 1.5)
	respond(300, None, func(i int) int { return 1 + i%2 })
	require.Less(t, service.Slowdown(now, &targets[0], PlainDifference), 1.1, "after 3 s without a response")
}

// percentile returns a quantile of the values, which it sorts.
func percentile(values []time.Duration, quantile float64) time.Duration {
	slices.Sort(values)
	return values[int(quantile*float64(len(values)-1))]
}
