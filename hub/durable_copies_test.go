package hub

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulatedVoter is a voter whose hub reports what is on its disk.
type simulatedVoter struct {
	report voterReport
	// isDown is set while its hub doesn't report.
	isDown bool
	// isStuck is set while its disk is full or hangs.
	isStuck bool
	// delay is how long a write takes; changes are on the disk then, in turn.
	delay   time.Duration
	pending []pendingWrite
}

type pendingWrite struct {
	versions operatorVersions
	at       time.Time
}

// step moves a voter on: it writes what is due, and reports.
func (v *simulatedVoter) step(now time.Time) {
	for len(v.pending) > 0 && !v.isDown && !v.isStuck && !now.Before(v.pending[0].at.Add(v.delay)) {
		v.report.Durable = v.report.Durable.latest(v.pending[0].versions)
		v.pending = v.pending[1:]
	}
	if !v.isDown {
		v.report.HeardAt = now
	}
}

// voterReplay replays changes of operators with voters that fail and come back.
type voterReplay struct {
	t      *testing.T
	now    time.Time
	voters []*simulatedVoter
	change operatorVersions
}

func newVoterReplay(t *testing.T) *voterReplay {
	r := &voterReplay{t: t, now: time.Unix(1_000, 0)}
	for i := range 5 {
		r.voters = append(r.voters, &simulatedVoter{report: voterReport{ID: fmt.Sprint(i), Host: fmt.Sprint("h-", i)}})
	}
	r.advance(0)
	return r
}

func (r *voterReplay) advance(by time.Duration) {
	for end := r.now.Add(by); ; r.now = r.now.Add(propagationPollInterval) {
		for _, voter := range r.voters {
			voter.step(r.now)
		}
		if !r.now.Before(end) {
			return
		}
	}
}

// acknowledge makes a change, waits for the disks as awaitCopies does, and returns for how long.
func (r *voterReplay) acknowledge() (durableCopies, time.Duration) {
	r.change.Fleet++
	for _, voter := range r.voters {
		voter.pending = append(voter.pending, pendingWrite{versions: r.change, at: r.now})
	}
	begun := r.now
	for {
		r.advance(0)
		var reports []voterReport
		for _, voter := range r.voters {
			reports = append(reports, voter.report)
		}
		copies, waited := countCopies(r.now, begun, r.change, reports), r.now.Sub(begun)
		require.LessOrEqual(r.t, waited, durableCopiesTimeout, "no voter may delay an acknowledgement for longer")
		if !copies.IsComplete {
			r.advance(propagationPollInterval)
			continue
		}
		for _, voter := range r.voters {
			if waited < durableCopiesTimeout && !voter.report.Durable.holds(r.change) {
				require.True(r.t, voter.report.isSilent(r.now) || voter.report.isBehind(), "acknowledged without voter %s in contact", voter.report.ID)
			}
			if waited >= durableCopiesTimeout && !voter.report.Durable.holds(r.change) {
				voter.report.noteMissed(r.change)
			}
		}
		require.Equal(r.t, len(r.voters), copies.Count+len(copies.Missing))
		return copies, waited
	}
}

// requireAcknowledged checks the number of copies and the wait of the next change.
func (r *voterReplay) requireAcknowledged(copies int, wait time.Duration, condition string) {
	r.t.Helper()
	counted, waited := r.acknowledge()
	require.Equal(r.t, copies, counted.Count, condition)
	require.Equal(r.t, wait, waited, condition)
}

func TestCountCopies_VotersFailAndComeBack(t *testing.T) {
	r := newVoterReplay(t)
	r.requireAcknowledged(5, 0, "all voters write at once")
	down, full := r.voters[3], r.voters[4]

	down.isDown = true
	r.requireAcknowledged(4, durableCopiesTimeout, "a voter has just stopped")
	r.requireAcknowledged(4, 0, "it still lacks the change before")
	r.advance(voterSilentAfter)
	r.requireAcknowledged(4, 0, "it is silent")
	down.isDown = false
	r.advance(propagationPollInterval)
	r.requireAcknowledged(5, 0, "it is back")
	down.isDown = true
	r.advance(voterSilentAfter)
	r.requireAcknowledged(4, 0, "it is silent and has missed no change")
	down.isDown = false

	full.isStuck = true
	r.requireAcknowledged(4, durableCopiesTimeout, "a disk is full")
	r.advance(time.Minute)
	r.requireAcknowledged(4, 0, "the disk is still full")
	full.isStuck = false
	r.advance(propagationPollInterval)
	full.delay = 100 * time.Millisecond
	r.requireAcknowledged(5, full.delay, "the disk has room, and is slow")
	full.delay = durableCopiesTimeout + propagationPollInterval
	r.requireAcknowledged(4, durableCopiesTimeout, "the disk is too slow")
	r.advance(full.delay)
	r.requireAcknowledged(4, durableCopiesTimeout, "the disk had the change before, and may have the next one in time")
}

// A voter is neither skipped while it may still get a change nor waited for without a bound.
func TestCountCopies_RandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 40))
		r := newVoterReplay(t)
		for range 200 {
			voter := r.voters[random.IntN(len(r.voters))]
			switch random.IntN(5) {
			case 0:
				voter.isDown = random.IntN(2) == 0
			case 1:
				voter.isStuck = random.IntN(2) == 0
			case 2:
				voter.delay = time.Duration(random.IntN(600)) * time.Millisecond
			}
			r.advance(time.Duration(random.IntN(2_000)) * time.Millisecond)
			r.acknowledge()
		}
		for _, voter := range r.voters {
			voter.isDown, voter.isStuck, voter.delay = false, false, 0
		}
		r.advance(propagationPollInterval)
		r.requireAcknowledged(len(r.voters), 0, fmt.Sprint("all faults are over, seed ", seed))
	}
}
