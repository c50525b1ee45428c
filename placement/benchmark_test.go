package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/placement"
)

// newBenchFleet returns a settled fleet. Every other service has all its targets as
// its minimum, the rest a third of them.
func newBenchFleet(targets, services, domains int) *fakeFleet {
	config := &fleet.Fleet{Store: fleet.Store{ConcurrentLoads: 16, BytesPerSecond: 64 * gibibyte}}
	for d := range domains {
		config.FailureDomains = append(config.FailureDomains, fmt.Sprintf("domain-%d", d))
	}
	all := newEngines(targets, config.FailureDomains...)
	for i := range services {
		s := newService(fmt.Sprintf("service-%02d", i), fmt.Sprintf("model-%02d", i), "1", 0, min(domains, 3))
		config.Services = append(config.Services, s)
	}
	for i, e := range all {
		s := &config.Services[(i/domains+i%domains)%services]
		s.Placement.Min++
		e.setService(s)
	}
	for i := 1; i < services; i += 2 {
		config.Services[i].Placement.Min /= 3
	}
	f := newFakeFleet(config, all)
	f.runFor(20)
	return f
}

// minMoves returns the minimum number of targets that must change to restore the
// minimums and the spread of all services.
func (f *fakeFleet) minMoves() int {
	total := 0
	present := map[string]bool{}
	for _, e := range f.targets {
		if !e.missing {
			present[e.FailureDomain] = true
		}
	}
	for _, s := range f.config.Services {
		domains := map[string]bool{}
		for _, e := range f.targets {
			if !e.missing && e.Service == s.Name {
				domains[e.FailureDomain] = true
			}
		}
		missingDomains := min(s.Placement.Spread, len(present), max(s.Placement.Min, f.readyTargets(s.Name))) - len(domains)
		total += max(0, s.Placement.Min-f.readyTargets(s.Name), missingDomains)
	}
	return total
}

func (f *fakeFleet) minimumsMet() bool {
	for _, s := range f.config.Services {
		if f.readyTargets(s.Name) < s.Placement.Min {
			return false
		}
	}
	return true
}

// stepAfterLoss runs the step that follows the end of the grace period for lost
// targets, and returns its duration.
func (f *fakeFleet) stepAfterLoss() time.Duration {
	f.planner.Observe(f.now, f.states())
	f.now = f.now.Add(16 * time.Second)
	f.planner.Observe(f.now, f.states())
	start := time.Now()
	effects := f.planner.Step(f.now, f.now.Add(time.Second))
	spent := time.Since(start)
	f.applyEffects(effects)
	return spent
}

// eventsPerOp is the number of events per run, each on another target or failure
// domain. The results are averages over these events.
const eventsPerOp = 6

// BenchmarkPlacement reports the duration of the Step that reacts to an event, the
// number of targets that change because of it, and the minimum number that must.
func BenchmarkPlacement(b *testing.B) {
	sizes := []struct{ targets, services, domains int }{{18, 4, 3}, {910, 22, 5}}
	events := map[string]func(f *fakeFleet, n int) int{
		"join": func(f *fakeFleet, _ int) int {
			e := newEngines(1, f.config.FailureDomains...)[0]
			e.Name = "joined"
			f.targets = append(f.targets, e)
			return 1
		},
		"loss": func(f *fakeFleet, n int) int {
			f.targets[n*7%len(f.targets)].missing = true
			return f.minMoves()
		},
		"domain-loss": func(f *fakeFleet, n int) int {
			domain := f.config.FailureDomains[n%len(f.config.FailureDomains)]
			for _, e := range f.targets {
				e.missing = e.FailureDomain == domain
			}
			return f.minMoves()
		},
	}
	for _, size := range sizes {
		for _, name := range []string{"join", "loss", "domain-loss"} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, size.targets), func(b *testing.B) {
				moves, required, n := 0, 0, 0
				var spent time.Duration
				for b.Loop() {
					for range eventsPerOp {
						f := newBenchFleet(size.targets, size.services, size.domains)
						require.Empty(b, f.sent)
						required += events[name](f, n)
						n++
						spent += f.stepAfterLoss()
						f.runFor(400)
						moves += len(f.closed)
					}
				}
				b.ReportMetric(float64(spent.Nanoseconds())/float64(n), "ns/op")
				b.ReportMetric(float64(moves)/float64(n), "moves/op")
				b.ReportMetric(float64(required)/float64(n), "least/op")
				b.ReportMetric(float64(moves)/float64(max(1, required)), "ratio")
			})
		}
	}
}

// BenchmarkColdFleet reports the time until every service has its minimum when all
// targets start with nothing loaded, and the time that the weight store needs to
// deliver these bytes at its configured rate.
func BenchmarkColdFleet(b *testing.B) {
	for _, size := range []struct{ targets, services, domains int }{{18, 4, 3}, {910, 22, 5}} {
		b.Run(fmt.Sprintf("targets=%d", size.targets), func(b *testing.B) {
			var took, limit float64
			for b.Loop() {
				f := newBenchFleet(size.targets, size.services, size.domains)
				f.config.Store = fleet.Store{ConcurrentLoads: 4, BytesPerSecond: gibibyte}
				if size.targets > 100 {
					f.config.Store = fleet.Store{ConcurrentLoads: 16, BytesPerSecond: 16 * gibibyte}
				}
				for _, e := range f.targets {
					e.restart()
				}
				f.configure()
				start, bytes := f.now, int64(0)
				for _, s := range f.config.Services {
					bytes += int64(s.Placement.Min) * modelSize
				}
				for !f.minimumsMet() {
					f.tick(500 * time.Millisecond)
				}
				require.LessOrEqual(b, f.maxLoads, f.config.Store.ConcurrentLoads)
				took = f.now.Sub(start).Seconds()
				limit = float64(bytes) / float64(f.config.Store.BytesPerSecond)
			}
			b.ReportMetric(took, "s-to-minimum")
			b.ReportMetric(limit, "s-store-limit")
			b.ReportMetric(took/limit, "ratio")
		})
	}
}

// simulatedChat is a chat that returns at its own rate, in requests per second.
type simulatedChat struct {
	placement.ChatState
	returnRate float64
	home       string
}

// BenchmarkHandover reports the cache hit ratio of requests in the ten minutes after
// one of six targets is drained, with and without moving its caches. A chat that is
// cached on no target is cached where its next request runs.
func BenchmarkHandover(b *testing.B) {
	for _, moves := range []bool{false, true} {
		b.Run(fmt.Sprintf("transfer=%t", moves), func(b *testing.B) {
			var reuse, ofDrained float64
			var moved int
			for b.Loop() {
				reuse, ofDrained, moved = simulateDrain(moves)
			}
			b.ReportMetric(reuse, "reuse-ratio")
			b.ReportMetric(ofDrained, "reuse-ratio-of-drained")
			b.ReportMetric(float64(moved), "chats-moved")
		})
	}
}

// simulateDrain returns the cache hit ratio of all chats, that of the drained
// target's chats, and the number of chats moved.
func simulateDrain(moves bool) (reuse, ofDrained float64, moved int) {
	random := rand.New(rand.NewPCG(1, 2))
	f := newSettledFleet(newConfig(newService("Reviews", "large", "1", 3, 1)), 6, 6)
	chats := newSimulatedChats(random, f, 1200)
	request := func(c *simulatedChat) bool {
		hit := c.home != ""
		if !hit {
			c.home = f.targets[1+random.IntN(5)].Name
		}
		c.LastUsed, c.Turns = f.now, c.Turns+1
		return hit
	}
	second := func(each func(c *simulatedChat)) {
		f.tick(time.Second)
		for i := range chats {
			if random.Float64() < chats[i].returnRate {
				each(&chats[i])
			}
		}
	}
	for range 1800 {
		second(func(c *simulatedChat) { request(c) })
	}
	drained := f.targets[0].Name
	f.targetsOut[drained] = true
	f.configure()
	onDrained := map[string]bool{}
	requests, hits, drainedRequests, drainedHits := 0, 0, 0, 0
	for s := range 600 {
		var warm []placement.ChatState
		for i := range chats {
			if chats[i].home == drained {
				onDrained[chats[i].Chat] = true
				warm = append(warm, chats[i].ChatState)
			}
		}
		if moves && s%5 == 0 {
			f.planner.ObserveChats(f.now, drained, warm)
		}
		second(func(c *simulatedChat) {
			if c.home == drained {
				c.home = ""
			}
			hit := request(c)
			requests++
			hits += boolToInt(hit)
			if onDrained[c.Chat] {
				drainedRequests++
				drainedHits += boolToInt(hit)
			}
		})
		for _, m := range f.moved {
			moved += len(m.Chats)
			applyMove(chats, m)
		}
		f.moved = nil
	}
	return float64(hits) / float64(requests), float64(drainedHits) / float64(drainedRequests), moved
}

func boolToInt(hit bool) int {
	if hit {
		return 1
	}
	return 0
}

// newSimulatedChats returns n chats with return intervals from seconds to hours.
func newSimulatedChats(random *rand.Rand, f *fakeFleet, n int) []simulatedChat {
	chats := make([]simulatedChat, n)
	for i := range chats {
		chats[i].Chat = fmt.Sprintf("chat-%04d", i)
		chats[i].Bytes = (64 + random.Int64N(448)) << 20
		chats[i].LastUsed = f.now
		chats[i].home = f.targets[i%6].Name
		chats[i].returnRate = 1 / (30 + 7200*random.Float64()*random.Float64())
	}
	return chats
}

// applyMove updates the location of moved chats, except those that have run on
// another target in the meantime.
func applyMove(chats []simulatedChat, m placement.MoveChats) {
	for _, name := range m.Chats {
		for i := range chats {
			if chats[i].Chat == name && chats[i].home == m.From {
				chats[i].home = m.To
			}
		}
	}
}
