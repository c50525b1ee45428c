package rollout

import (
	"math/rand/v2"
	"time"
)

// trial plays one rollout on hosts that send requests, without a network.
type trial struct {
	hosts    int
	rate     float64
	duration time.Duration
	// prompts is the number of shared prompts; 0 for requests without prompts.
	prompts int
	// routes are the shares of the requests by route.
	routes []float64
	// respond returns what becomes of a request.
	respond func(random *rand.Rand, at time.Duration, route int, isNew bool) reply
	// withoutTargets is set if the new version has no target.
	withoutTargets bool
	// restartAt is when the leader changes; 0 for never.
	restartAt time.Duration

	random     *rand.Rand
	controller *Controller
	sums       ServiceReport
	observers  []*Observer
	assigned   []Assignment
	shares     []float64
	shareAt    []time.Duration
	pollAt     []time.Duration
	arriving   []arrival
	pending    []response
	share      float64
	prompted   float64
	outcome    outcome
}

// arrival is a report on its way to the leader.
type arrival struct {
	at     time.Duration
	report Report
}

// response is a response that ends at a time.
type response struct {
	reply
	at          time.Duration
	host, route int
	isNew       bool
}

// reply is what becomes of a request: the time to first byte, and whether it fails. isFault is
// set if that is a fault of the version.
type reply struct {
	firstByte      time.Duration
	isBad, isFault bool
}

// outcome is how a trial ended.
type outcome struct {
	state             Action
	at                time.Duration
	reason            string
	requests, exposed int
	// bad counts the responses with a fault of the version, and manyBadAt is when the 50th of
	// them came; leftAt when the last
	// request went there.
	bad       int
	manyBadAt time.Duration
	leftAt    time.Duration
	oldAfter  int
	maxShare  float64
}

const (
	trialTick   = 10 * time.Millisecond
	trialCommit = 30 * time.Millisecond
	trialSpread = 150 * time.Millisecond
)

var trialBounds = Bounds{ExposedShare: 0.1, ExposedExtra: 50, RevertWithin: 5 * time.Second}

// allowed returns the exposure that callers accept.
func (o *outcome) allowed() float64 {
	return trialBounds.ExposedShare*float64(o.requests) + float64(trialBounds.ExposedExtra)
}

// play plays the rollout until some time after its deadline.
func (t *trial) play(seed uint64) outcome {
	t.random = rand.New(rand.NewPCG(seed, 1))
	t.controller, t.share = NewController(trialBounds), trialBounds.InitialShare()
	t.sums = ServiceReport{Service: "s", Number: 1}
	for range t.hosts {
		t.observers = append(t.observers, NewObserver())
		t.assigned = append(t.assigned, Assignment{})
		t.assigned[len(t.assigned)-1].Reset(1, t.random.Uint64())
		t.shares, t.shareAt = append(t.shares, 0), append(t.shareAt, t.delay())
		t.pollAt = append(t.pollAt, t.delay())
	}
	changedAt, next, started := time.Duration(0), -1.0, time.Unix(0, 0)
	for now := trialTick; now < t.duration+2*time.Second; now += trialTick {
		t.sendRequests(now)
		t.respondTo(now)
		t.report(now)
		if t.restartAt > 0 && now >= t.restartAt {
			t.controller, t.restartAt = NewController(trialBounds), 0
		}
		if next >= 0 && now >= changedAt {
			t.changeShare(now, next)
			next = -1
		}
		if t.outcome.state != "" || next >= 0 || now%(50*time.Millisecond) != 0 {
			continue
		}
		decision := t.controller.Decide(Input{
			Now: started.Add(now), Elapsed: now, Duration: t.duration, Share: t.share, PromptShare: max(t.prompted, t.share), Counts: &t.sums, HostsHaveShare: t.hostsHaveShare(now),
			CommitTime: trialCommit, SlowCommitTime: trialCommit, SpreadTime: trialSpread,
		})
		switch decision.Action {
		case SetShare:
			next, t.prompted, changedAt = decision.Share, decision.PromptShare, now+trialCommit
		case Complete, Revert:
			t.outcome.state, t.outcome.at, t.outcome.reason = decision.Action, now+trialCommit, decision.Reason
			next, changedAt = 0, now+trialCommit
			if decision.Action == Complete {
				next = 1
			}
		case Keep:
		}
	}
	return t.outcome
}

// delay returns a time for a message to a host.
func (t *trial) delay() time.Duration {
	return 20*time.Millisecond + time.Duration(t.random.Int64N(int64(80*time.Millisecond)))
}

func (t *trial) changeShare(now time.Duration, share float64) {
	t.share, t.outcome.maxShare = share, max(t.outcome.maxShare, share)
	for host := range t.shareAt {
		t.shareAt[host] = now + t.delay()
	}
}

func (t *trial) hostsHaveShare(now time.Duration) bool {
	for _, at := range t.shareAt {
		if at+50*time.Millisecond > now {
			return false
		}
	}
	return true
}

// sendRequests sends the requests of one tick.
func (t *trial) sendRequests(now time.Duration) {
	for host, at := range t.shareAt {
		if now >= at {
			t.shares[host] = t.share
		}
	}
	expected := t.rate * trialTick.Seconds()
	count := int(expected)
	if t.random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		host, route, key := t.random.IntN(t.hosts), t.drawRoute(), uint64(0)
		if t.prompts > 0 {
			key = uint64(1 + min(t.random.IntN(t.prompts), t.random.IntN(t.prompts)))
		}
		share, assignment := t.shares[host], &t.assigned[host]
		isNew := !t.withoutTargets && assignment.Prefers(share, max(t.prompted, share), key*0x9e3779b97f4a7c15)
		assignment.Record(share, isNew, t.random.Uint64())
		t.observers[host].RecordRequest("s", 1, isNew)
		if now <= t.duration {
			t.outcome.requests++
			if isNew {
				t.outcome.exposed++
			}
		}
		if isNew {
			t.outcome.leftAt = now
		} else if t.outcome.state == Complete && now > t.outcome.at {
			t.outcome.oldAfter++
		}
		replied := t.respond(t.random, now, route, isNew)
		t.pending = append(t.pending, response{reply: replied, at: now + replied.firstByte, host: host, route: route, isNew: isNew})
	}
}

func (t *trial) drawRoute() int {
	at := t.random.Float64()
	for route, share := range t.routes {
		if at -= share; at < 0 {
			return route
		}
	}
	return 0
}

func (t *trial) respondTo(now time.Duration) {
	kept := t.pending[:0]
	for _, r := range t.pending {
		if r.at > now {
			kept = append(kept, r)
			continue
		}
		route := string(rune('a' + r.route))
		if r.isBad {
			t.observers[r.host].RecordFailure("s", 1, route, r.isNew, Failure{})
		} else {
			t.observers[r.host].RecordFirstByte("s", 1, route, r.isNew, r.firstByte)
		}
		if r.isFault {
			if t.outcome.bad++; t.outcome.bad == 50 {
				t.outcome.manyBadAt = now
			}
		}
	}
	t.pending = kept
}

// report sends the reports of the hosts that poll, and takes those that arrive.
func (t *trial) report(now time.Duration) {
	for host := range t.pollAt {
		if now < t.pollAt[host] {
			continue
		}
		t.pollAt[host] = now + 100*time.Millisecond + time.Duration(t.random.Int64N(int64(400*time.Millisecond)))
		t.arriving = append(t.arriving, arrival{now + 20*time.Millisecond + time.Duration(t.random.Int64N(int64(130*time.Millisecond))), t.observers[host].TakeReport()})
	}
	kept := t.arriving[:0]
	for _, arriving := range t.arriving {
		if arriving.at > now {
			kept = append(kept, arriving)
			continue
		}
		for i := range arriving.report.Services {
			t.sums.Add(&arriving.report.Services[i])
		}
	}
	t.arriving = kept
}
