package scarcity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newScarceService returns a service of one host that takes a part of 200 requests a second
// of 24 workspaces.
func newScarceService(now *time.Time) *Service {
	s := NewService(PlainService, nil)
	inFlight := 0.0
	for at := range 200 {
		for i := range 20 {
			*now = now.Add(5 * time.Millisecond)
			r := testRequest(*now, i%24)
			r.Random = mix(uint64(at*20 + i))
			if s.Decide(*now, &r).Verdict == Admitted {
				inFlight++
			}
		}
		inFlight = max(inFlight-10, 0)
		s.RecordDuration(90 * time.Millisecond)
		s.Observe(*now, Load{InFlight: inFlight, Slots: 18, Hosts: 1})
	}
	return s
}

func testRequest(now time.Time, workspace int) Request {
	return Request{Class: Class{Workspace: fmt.Sprint("w-", workspace), Priority: -1}, Started: now, Deadline: now.Add(3 * time.Second)}
}

// Guards against a request that is sent although its caller will have left.
func TestDecide_HopelessRequestIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newScarceService(&now)
	require.True(t, s.IsScarce())
	r := testRequest(now, 1)
	r.Deadline = now.Add(20 * time.Millisecond)
	decision := s.Decide(now, &r)
	require.Equal(t, Refused, decision.Verdict)
	require.Equal(t, ReasonDeadline, decision.Reason)
	require.Positive(t, decision.RetryAfter)
	require.LessOrEqual(t, decision.RetryAfter, 20*time.Millisecond/3)
}

// Guards against requests that can no longer meet their objective and take the place of
// others that can.
func TestDecide_LateRequestHasALowerShare(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newScarceService(&now)
	r := testRequest(now, 1)
	r.Objective = 500 * time.Millisecond
	inTime := s.Decide(now, &r).Share
	r.Started = now.Add(-time.Second)
	late := s.Decide(now, &r).Share
	require.Less(t, late, 0.6*inTime)
	require.Greater(t, late, 0.4*inTime)
}

// Guards against a host whose memory for classes grows without bound.
func TestDemand_ClassesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newDemandTable(nil)
	for i := range 10 * maxClasses {
		table.add(now, Class{Workspace: fmt.Sprint("w-", i), Priority: -i % 3}, true)
	}
	require.LessOrEqual(t, len(table.classes), 2*maxClasses)
	require.InDelta(t, float64(10*maxClasses)/demandPeriod.Seconds(), table.perSecond(now), 0.1)
	now = now.Add(time.Minute)
	table.add(now, Class{Workspace: "late"}, true)
	require.Contains(t, table.classes, Class{Workspace: "late"}, "forgotten classes leave room")
}

// Guards against hosts that come and go and upset the shares: the next digest after that
// changes them little, since they are parts of the demand of each host.
func TestObserve_HostCountChangesTheSpeedOnly(t *testing.T) {
	for _, hosts := range []int{2, 10} {
		now := time.Unix(1000, 0)
		s := newScarceService(&now)
		before, load := s.Fraction(), s.Load()
		now = now.Add(100 * time.Millisecond)
		load.Hosts = hosts
		s.Observe(now, load)
		require.InDelta(t, before, s.Fraction(), 0.1)
	}
}

// Guards against a lost target that the others pay for with full queues until the next
// measurement.
func TestObserve_LostSlotsReduceTheShareAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newScarceService(&now)
	before, load := s.Fraction(), s.Load()
	now = now.Add(500 * time.Millisecond)
	load.Slots, load.InFlight = 12, load.InFlight*2/3
	s.Observe(now, load)
	require.Less(t, s.Fraction(), 0.85*before)
}

func BenchmarkDecide_Room(b *testing.B) {
	now := time.Unix(1000, 0)
	s := NewService(PlainService, nil)
	s.Observe(now, Load{InFlight: 3, Slots: 18, Hosts: 141})
	r := testRequest(now, 1)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		r.Deadline = now.Add(time.Second)
		s.Decide(now, &r)
	}
}

func BenchmarkDecide_Scarce(b *testing.B) {
	now := time.Unix(1000, 0)
	s := newScarceService(&now)
	requests := make([]Request, 24)
	for i := range requests {
		requests[i] = testRequest(now, i)
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		r := &requests[i%24]
		now = now.Add(5 * time.Millisecond)
		r.Random, r.Started, r.Deadline = mix(i), now, now.Add(3*time.Second)
		s.room.observedAt = now // The plan is made anew each 100 ms, without the recovery of a host without digests.
		s.Decide(now, r)
	}
	require.True(b, s.IsScarce())
}
