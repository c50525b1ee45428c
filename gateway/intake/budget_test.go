package intake

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// member is a connection without a network.
type member struct {
	holding
	sheds int
}

// newMember opens a connection that holds bytes.
func newMember(t require.TestingT, b *Budget, bytes int) *member {
	m := &member{}
	m.holding.shed = func() { m.sheds++ }
	require.NoError(t, b.open(&m.holding, bytes))
	return m
}

// arrive takes bytes in steps, as a body that arrives. It reports whether all were taken; the rest
// of what it holds is returned otherwise, as by a server that refuses the request.
func (m *member) arrive(bytes, step int) bool {
	for taken := 0; taken < bytes; taken += step {
		if m.take(step, 0) != nil {
			m.close()
			return false
		}
	}
	return true
}

const (
	testLimit = 40 << 20
	testBase  = 44 << 10
)

// A crowd that sends large bodies and stops short of the end must not push out ordinary requests,
// nor bodies that have arrived whole, nor take more than the budget.
func TestBudget_CrowdOfUnfinishedBodiesDoesNotPushOutOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBudget(BudgetConfig{Clock: clock, Limit: testLimit})
	whole := newMember(t, b, testBase)
	require.NoError(t, whole.take(4<<20, 0))
	whole.enter(Serving, testBase)
	var crowd []*member
	for i := range 300 {
		clock.Advance(10 * time.Millisecond)
		m := newMember(t, b, testBase)
		m.enter(Head, testBase)
		m.enter(Body, testBase)
		m.arrive(1<<20, 64<<10)
		crowd = append(crowd, m)
		for _, other := range crowd {
			if other.sheds > 0 {
				other.close()
			}
		}
		require.LessOrEqual(t, b.Used(), testLimit+testLimit/overdraftShare)

		ordinary := newMember(t, b, testBase)
		ordinary.enter(Head, testBase)
		ordinary.enter(Body, testBase)
		require.True(t, ordinary.arrive(16<<10, 8<<10), "ordinary request %d", i)
		ordinary.enter(Serving, testBase)
		require.Zero(t, ordinary.sheds)
		ordinary.close()
	}
	require.Zero(t, whole.sheds, "a body that has arrived whole is kept")
}

// Clients that don't read their responses must not keep the memory from others.
func TestBudget_StalledReadersAreShedForOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBudget(BudgetConfig{Clock: clock, Limit: testLimit})
	var crowd []*member
	for {
		m := newMember(t, b, testBase)
		m.enter(Serving, testBase)
		if m.take(4<<20, 0) != nil {
			m.close()
			break
		}
		m.write(true)
		crowd = append(crowd, m)
	}
	reader := newMember(t, b, testBase)
	reader.enter(Serving, testBase)
	require.ErrorIs(t, reader.take(4<<20, 0), ErrShort, "a client that has just begun to read is kept")
	clock.Advance(2 * stallTime)
	crowd[0].write(false)
	crowd[0].write(true)
	require.NoError(t, reader.take(4<<20, 0))
	require.Zero(t, crowd[0].sheds, "a client that still reads is kept")
	sheds := 0
	for _, m := range crowd {
		sheds += m.sheds
	}
	require.Positive(t, sheds)
}

// If only small requests are there, the newest connection is refused and no request is shed.
func TestBudget_ExhaustedBySmallRequestsRefusesNewest(t *testing.T) {
	b := NewBudget(BudgetConfig{Clock: clockwork.NewFakeClock(), Limit: testLimit})
	var all []*member
	for {
		m := &member{}
		m.holding.shed = func() { m.sheds++ }
		if b.open(&m.holding, testBase) != nil {
			break
		}
		m.enter(Serving, testBase)
		all = append(all, m)
	}
	require.Greater(t, len(all), testLimit/testBase-2)
	for _, m := range all {
		require.Zero(t, m.sheds)
	}
}

// A body waits for the memory of a connection that was shed for it, and is refused if it is
// the heaviest itself.
func TestBudget_BodyWaitsForConnectionsThatWereShed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBudget(BudgetConfig{Clock: clock, Limit: testLimit})
	heavy := newMember(t, b, testBase)
	heavy.enter(Body, testBase)
	require.NoError(t, heavy.take(testLimit-testLimit/smallShare-testBase, 0))
	clock.Advance(time.Second)
	light := newMember(t, b, testBase)
	light.enter(Body, testBase)
	taken := make(chan error, 1)
	go func() { taken <- light.take(1<<20, maxBodyWait) }()
	require.Eventually(t, func() bool { return heavy.wasShed() }, 10*time.Second, time.Millisecond)
	heavy.close()
	require.NoError(t, <-taken)
	require.ErrorIs(t, light.take(testLimit, maxBodyWait), ErrShort)
}

// For any order of events, what is held is what the connections hold, within the limit, and a
// request that is being served is shed only while its client takes nothing.
func TestBudget_BoundsHoldForAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		b := NewBudget(BudgetConfig{Clock: clock, Limit: testLimit})
		var open []*member
		served := map[*member]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "opens") == 0 {
				m := &member{}
				m.holding.shed = func() { m.sheds++ }
				if b.open(&m.holding, testBase) == nil {
					open = append(open, m)
				}
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "member")
			m := open[i]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				_ = m.take(rapid.IntRange(1, 8<<20).Draw(t, "bytes"), 0)
			case 1:
				if m.sheds == 0 {
					m.enter(Phase(rapid.IntRange(0, int(Serving)).Draw(t, "phase")), testBase)
				}
			case 2:
				m.release(rapid.IntRange(0, 1<<20).Draw(t, "released"))
			case 3:
				m.close()
				open = append(open[:i], open[i+1:]...)
			}
			sum := 0
			for _, other := range open {
				sum += other.bytes
				if other.phase == Serving && other.sheds == 0 {
					served[other] = true
				}
				if other.phase != Serving {
					delete(served, other)
				}
				require.False(t, served[other] && other.sheds > 0, "a request that is served was shed")
			}
			require.Equal(t, sum, b.Used())
			require.LessOrEqual(t, b.Used(), testLimit+testLimit/overdraftShare)
		}
	})
}

// When all connections are taken, the one that has waited longest for a request goes, and none
// that has just had one.
func TestBudget_ShedWaitingTakesLongestSilentConnection(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBudget(BudgetConfig{Clock: clock, Limit: testLimit})
	busy := newMember(t, b, testBase)
	busy.enter(Serving, testBase)
	kept := newMember(t, b, testBase)
	kept.enter(Serving, testBase)
	silent := newMember(t, b, testBase)
	clock.Advance(time.Minute)
	kept.enter(Waiting, testBase)
	require.True(t, b.shedWaiting(nil))
	require.Equal(t, []int{0, 0, 1}, []int{busy.sheds, kept.sheds, silent.sheds})
	require.False(t, b.shedWaiting(nil))
	clock.Advance(idleGrace)
	require.True(t, b.shedWaiting(nil))
	require.Equal(t, 1, kept.sheds)
}

// A wait that ended must leave no timer behind, or each refusal would cost processor time for
// good. A client that doesn't get memory in time is refused.
func TestBudget_WaitEndsWithItsTimer(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBudget(BudgetConfig{Clock: clock, Limit: testLimit})
	served := newMember(t, b, testBase)
	served.enter(Serving, testBase)
	require.NoError(t, served.take(testLimit/2, 0))
	waiting := newMember(t, b, testBase)
	waiting.enter(Serving, testBase)
	refused := make(chan error, 1)
	go func() { refused <- waiting.take(testLimit/2, maxResponseWait) }()
	for range waitSteps {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(maxResponseWait / waitSteps)
	}
	require.ErrorIs(t, <-refused, ErrShort)
	noTimer, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, clock.BlockUntilContext(noTimer, 1), context.DeadlineExceeded, "no timer is left")
}
