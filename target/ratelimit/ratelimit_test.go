package ratelimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

// hostReplay is one host that sends requests to a limited target.
type hostReplay struct {
	schedule *Schedule
	demand   float64
}

// fleetReplay sends the requests of many hosts to one limited target and keeps the times
// of those that the hosts' schedules allow.
type fleetReplay struct {
	hosts  []hostReplay
	random *rand.Rand
	now    time.Time
	sent   []time.Time
}

func newFleetReplay(hosts int, perSecond, demand float64, seed uint64) *fleetReplay {
	r := &fleetReplay{random: rand.New(rand.NewPCG(seed, 7)), now: start}
	for range hosts {
		pace := NewPace(perSecond, hosts, demand)
		r.hosts = append(r.hosts, hostReplay{NewSchedule(r.now, pace, r.random.Float64()), demand})
	}
	return r
}

// run sends requests for a time: each host has demand requests per second.
func (r *fleetReplay) run(duration time.Duration, perSecond, demand float64) {
	const step = 20 * time.Millisecond
	for range int(duration / step) {
		r.now = r.now.Add(step)
		for i := range r.hosts {
			if r.random.Float64() >= demand*step.Seconds() {
				continue
			}
			host := &r.hosts[i]
			pace := NewPace(perSecond, len(r.hosts), host.demand)
			if host.schedule.Allows(r.now, pace) {
				host.schedule.Use(r.now, pace)
				r.sent = append(r.sent, r.now)
			}
		}
	}
}

// most returns the largest number of requests in a window.
func (r *fleetReplay) most() int {
	most, first := 0, 0
	for i, at := range r.sent {
		for at.Sub(r.sent[first]) >= burstWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func bearable(perSecond float64) int {
	return int(burstFactor*perSecond*burstWindow.Seconds() + burstExtra)
}

// Whatever the limit, the number of hosts and their requests, the target gets no more than
// it bears: in steady traffic, and when all hosts begin to send at once after a lull.
func TestSchedule_HostsTogetherStayBelowLimit(t *testing.T) {
	for _, hosts := range []int{1, 3, 18, 100, 300} {
		for _, perSecond := range []float64{0, 0.1, 0.7, 3, 5, 12, 60} {
			for _, demand := range []float64{0.1, 1, 20} {
				t.Run(fmt.Sprintf("%d hosts, limit %v, %v requests a second each", hosts, perSecond, demand), func(t *testing.T) {
					r := newFleetReplay(hosts, perSecond, demand, 1)
					r.run(20*time.Second, perSecond, demand)
					r.now = r.now.Add(time.Minute)
					r.run(8*time.Second, perSecond, 25)
					require.LessOrEqual(t, r.most(), bearable(max(perSecond, minPerSecond)))
				})
			}
		}
	}
}

// Hosts that have requests all the time use most of the limit, since what they leave is
// lost.
func TestSchedule_BusyHostsUseMostOfLimit(t *testing.T) {
	for _, hosts := range []int{3, 18, 300} {
		for _, perSecond := range []float64{1, 5, 40} {
			const seconds = 120
			r := newFleetReplay(hosts, perSecond, 10, 2)
			r.run(seconds*time.Second, perSecond, 10)
			require.GreaterOrEqual(t, float64(len(r.sent)), 0.5*perSecond*seconds, "%d hosts, limit %v", hosts, perSecond)
			require.LessOrEqual(t, float64(len(r.sent)), 1.05*perSecond*seconds+float64(hosts), "%d hosts, limit %v", hosts, perSecond)
		}
	}
}

// A limit that rises a little with each response must not bring the slots of many hosts
// forward into the same moment.
func TestSchedule_RisingLimitMovesSlotsEvenly(t *testing.T) {
	const hosts = 300
	r := newFleetReplay(hosts, 4, 2, 3)
	r.run(60*time.Second, 4, 2)
	perSecond := 4.0
	for range 60 {
		perSecond += 0.05
		r.run(200*time.Millisecond, perSecond, 2)
	}
	require.LessOrEqual(t, r.most(), bearable(perSecond))
}

// A slot comes at its time and can be used once, within its lifetime.
func TestSchedule_SlotsAreUsedOnceAndExpire(t *testing.T) {
	pace := Pace{Interval: 10 * time.Second, Lifetime: 2 * time.Second}
	s := NewSchedule(start, pace, 0.5)
	require.False(t, s.Allows(start.Add(4900*time.Millisecond), pace))
	require.True(t, s.Allows(start.Add(5*time.Second), pace))
	require.True(t, s.Allows(start.Add(6*time.Second), pace))
	s.Use(start.Add(6*time.Second), pace)
	require.False(t, s.Allows(start.Add(6*time.Second), pace), "used")
	require.True(t, s.Allows(start.Add(15*time.Second), pace), "the next slot comes an interval after the last one, not after its use")
	require.False(t, s.Allows(start.Add(18*time.Second), pace), "expired")
	require.True(t, s.Allows(start.Add(35*time.Second), pace), "nothing adds up")
	s.Use(start.Add(35*time.Second), pace)
	require.False(t, s.Allows(start.Add(35*time.Second), pace))
}

func TestNewPace_SharesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 1e6).Draw(t, "limit")
		hosts := rapid.IntRange(1, 1000).Draw(t, "hosts")
		demand := rapid.Float64Range(0, 1000).Draw(t, "demand")
		pace := NewPace(perSecond, hosts, demand)
		require.Positive(t, pace.Interval)
		require.Positive(t, pace.Lifetime)
		require.LessOrEqual(t, pace.Lifetime, burstWindow)
		rate := float64(hosts) / pace.Interval.Seconds()
		require.LessOrEqual(t, rate, max(perSecond, minPerSecond)*1.001, "all hosts together")
		require.LessOrEqual(t, NewPace(perSecond, hosts+1, demand).Interval.Seconds()+1e-6, pace.Interval.Seconds()*2+1, "one host more")
	})
}

func TestLimit_LatestAndDifferences(t *testing.T) {
	five, six := 5.0, 6.0
	unknown, none := Limit{}, New(start, nil)
	limited, later := New(start.Add(time.Second), &five), New(start.Add(2*time.Second), &six)
	require.Equal(t, limited, unknown.Latest(limited))
	require.Equal(t, limited, limited.Latest(unknown))
	require.Equal(t, limited, limited.Latest(none), "a response that came earlier changes nothing")
	require.Equal(t, later, limited.Latest(later))
	require.False(t, unknown.Differs(none))
	require.True(t, limited.Differs(none))
	require.True(t, limited.Differs(later))
	require.False(t, limited.Differs(Limit{IsLimited: true, PerSecond: 5.1}))
	zero := 0.0
	require.True(t, New(start, &zero).Differs(none), "a target that takes nothing")
}
