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

// fleetOf returns a settled fleet: targets in domains, every other service with
// all its targets as minimum, the rest with a third of them.
func fleetOf(targets, services, domains int) *fakeFleet {
	text := &fleet.Fleet{Store: fleet.Store{ConcurrentLoads: 16, BytesPerSecond: 64 * gibibyte}}
	for d := range domains {
		text.FailureDomains = append(text.FailureDomains, fmt.Sprintf("domain-%d", d))
	}
	all := engines(targets, text.FailureDomains...)
	for i := range services {
		s := service(fmt.Sprintf("service-%02d", i), fmt.Sprintf("model-%02d", i), "1", 0, min(domains, 3))
		text.Services = append(text.Services, s)
	}
	for i, e := range all {
		s := &text.Services[(i/domains+i%domains)%services]
		s.Placement.Min++
		e.serving(s)
	}
	for i := 1; i < services; i += 2 {
		text.Services[i].Placement.Min /= 3
	}
	f := newFakeFleet(text, all)
	f.run(20)
	return f
}

// least returns the smallest number of targets that must change for the minimums
// and the spread of all services.
func (f *fakeFleet) least() int {
	total := 0
	left := map[string]bool{}
	for _, e := range f.targets {
		if !e.missing {
			left[e.FailureDomain] = true
		}
	}
	for _, s := range f.text.Services {
		domains := map[string]bool{}
		for _, e := range f.targets {
			if !e.missing && e.Service == s.Name {
				domains[e.FailureDomain] = true
			}
		}
		lackingSpread := min(s.Placement.Spread, len(left), max(s.Placement.Min, f.ready(s.Name))) - len(domains)
		total += max(0, s.Placement.Min-f.ready(s.Name), lackingSpread)
	}
	return total
}

func (f *fakeFleet) minimumsMet() bool {
	for _, s := range f.text.Services {
		if f.ready(s.Name) < s.Placement.Min {
			return false
		}
	}
	return true
}

// decideAfterLoss runs the step that comes once lost targets are given up, and
// returns how long it took.
func (f *fakeFleet) decideAfterLoss() time.Duration {
	f.planner.Observe(f.now, f.states())
	f.now = f.now.Add(16 * time.Second)
	f.planner.Observe(f.now, f.states())
	start := time.Now()
	effects := f.planner.Step(f.now, f.now.Add(time.Second))
	spent := time.Since(start)
	f.carryOut(effects)
	return spent
}

// eventsPerOp is the number of events, each on another target or failure domain,
// over which one run takes the mean.
const eventsPerOp = 6

// BenchmarkPlacement reports the time of the Step that decides after an event,
// the targets that change because of it, and the least that must.
func BenchmarkPlacement(b *testing.B) {
	sizes := []struct{ targets, services, domains int }{{18, 4, 3}, {910, 22, 5}}
	events := map[string]func(f *fakeFleet, n int) int{
		"join": func(f *fakeFleet, _ int) int {
			e := engines(1, f.text.FailureDomains...)[0]
			e.Name = "joined"
			f.targets = append(f.targets, e)
			return 1
		},
		"loss": func(f *fakeFleet, n int) int {
			f.targets[n*7%len(f.targets)].missing = true
			return f.least()
		},
		"domain-loss": func(f *fakeFleet, n int) int {
			domain := f.text.FailureDomains[n%len(f.text.FailureDomains)]
			for _, e := range f.targets {
				e.missing = e.FailureDomain == domain
			}
			return f.least()
		},
	}
	for _, size := range sizes {
		for _, name := range []string{"join", "loss", "domain-loss"} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, size.targets), func(b *testing.B) {
				moves, least, n := 0, 0, 0
				var spent time.Duration
				for b.Loop() {
					for range eventsPerOp {
						f := fleetOf(size.targets, size.services, size.domains)
						require.Empty(b, f.sent)
						least += events[name](f, n)
						n++
						spent += f.decideAfterLoss()
						f.run(400)
						moves += len(f.closed)
					}
				}
				b.ReportMetric(float64(spent.Nanoseconds())/float64(n), "ns/op")
				b.ReportMetric(float64(moves)/float64(n), "moves/op")
				b.ReportMetric(float64(least)/float64(n), "least/op")
				b.ReportMetric(float64(moves)/float64(max(1, least)), "ratio")
			})
		}
	}
}

// BenchmarkColdFleet reports the time until every service has its minimum when
// all targets start with nothing loaded, and the time that the weight store needs
// for these bytes at its own rate.
func BenchmarkColdFleet(b *testing.B) {
	for _, size := range []struct{ targets, services, domains int }{{18, 4, 3}, {910, 22, 5}} {
		b.Run(fmt.Sprintf("targets=%d", size.targets), func(b *testing.B) {
			var took, limit float64
			for b.Loop() {
				f := fleetOf(size.targets, size.services, size.domains)
				f.text.Store = fleet.Store{ConcurrentLoads: 4, BytesPerSecond: gibibyte}
				if size.targets > 100 {
					f.text.Store = fleet.Store{ConcurrentLoads: 16, BytesPerSecond: 16 * gibibyte}
				}
				for _, e := range f.targets {
					e.restart()
				}
				f.configure()
				start, bytes := f.now, int64(0)
				for _, s := range f.text.Services {
					bytes += int64(s.Placement.Min) * modelSize
				}
				for !f.minimumsMet() {
					f.tick(500 * time.Millisecond)
				}
				require.LessOrEqual(b, f.mostLoads, f.text.Store.ConcurrentLoads)
				took = f.now.Sub(start).Seconds()
				limit = float64(bytes) / float64(f.text.Store.BytesPerSecond)
			}
			b.ReportMetric(took, "s-to-minimum")
			b.ReportMetric(limit, "s-store-limit")
			b.ReportMetric(took/limit, "ratio")
		})
	}
}

// chatModel is a chat with its own rate of return.
type chatModel struct {
	placement.ChatState
	rate float64
	home string
}

// BenchmarkHandover reports the share of requests that find their chat's cache in
// the ten minutes after one of six targets is drained, with and without moving
// its caches. A chat on no target is made anew where its request goes.
func BenchmarkHandover(b *testing.B) {
	for _, moves := range []bool{false, true} {
		b.Run(fmt.Sprintf("transfer=%t", moves), func(b *testing.B) {
			var reuse, ofDrained float64
			var moved int
			for b.Loop() {
				reuse, ofDrained, moved = drainOne(moves)
			}
			b.ReportMetric(reuse, "reuse-ratio")
			b.ReportMetric(ofDrained, "reuse-ratio-of-drained")
			b.ReportMetric(float64(moved), "chats-moved")
		})
	}
}

// drainOne returns the reuse of all chats, that of the drained target's chats and
// the number of chats moved.
func drainOne(moves bool) (reuse, ofDrained float64, moved int) {
	random := rand.New(rand.NewPCG(1, 2))
	f := settled(textOf(service("Reviews", "large", "1", 3, 1)), 6, 6)
	chats := drawChats(random, f, 1200)
	request := func(c *chatModel) bool {
		hit := c.home != ""
		if !hit {
			c.home = f.targets[1+random.IntN(5)].Name
		}
		c.LastUsed, c.Turns = f.now, c.Turns+1
		return hit
	}
	second := func(each func(c *chatModel)) {
		f.tick(time.Second)
		for i := range chats {
			if random.Float64() < chats[i].rate {
				each(&chats[i])
			}
		}
	}
	for range 1800 {
		second(func(c *chatModel) { request(c) })
	}
	drained := f.targets[0].Name
	f.out[drained] = true
	f.configure()
	mine := map[string]bool{}
	requests, hits, mineRequests, mineHits := 0, 0, 0, 0
	for s := range 600 {
		var warm []placement.ChatState
		for i := range chats {
			if chats[i].home == drained {
				mine[chats[i].Chat] = true
				warm = append(warm, chats[i].ChatState)
			}
		}
		if moves && s%5 == 0 {
			f.planner.ObserveChats(f.now, drained, warm)
		}
		second(func(c *chatModel) {
			if c.home == drained {
				c.home = ""
			}
			hit := request(c)
			requests++
			hits += count(hit)
			if mine[c.Chat] {
				mineRequests++
				mineHits += count(hit)
			}
		})
		for _, m := range f.moved {
			moved += len(m.Chats)
			rehome(chats, m)
		}
		f.moved = nil
	}
	return float64(hits) / float64(requests), float64(mineHits) / float64(mineRequests), moved
}

func count(hit bool) int {
	if hit {
		return 1
	}
	return 0
}

// drawChats gives chats rates of return from seconds to hours.
func drawChats(random *rand.Rand, f *fakeFleet, n int) []chatModel {
	chats := make([]chatModel, n)
	for i := range chats {
		chats[i].Chat = fmt.Sprintf("chat-%04d", i)
		chats[i].Bytes = (64 + random.Int64N(448)) << 20
		chats[i].LastUsed = f.now
		chats[i].home = f.targets[i%6].Name
		chats[i].rate = 1 / (30 + 7200*random.Float64()*random.Float64())
	}
	return chats
}

// rehome has the owner remember where chats have moved, unless they ran
// elsewhere meanwhile.
func rehome(chats []chatModel, m placement.MoveChats) {
	for _, name := range m.Chats {
		for i := range chats {
			if chats[i].Chat == name && chats[i].home == m.From {
				chats[i].home = m.To
			}
		}
	}
}
