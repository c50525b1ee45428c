package rollout

import (
	"math"
	"time"
)

const (
	// judgedPart is the part of the allowed exposure that is used while the version is
	// judged; minJudgedPart is that if the move of everything needs more than the rest.
	judgedPart    = 0.5
	minJudgedPart = 0.15
	// earliestMove is the part of the duration before which not everything moves.
	earliestMove = 0.75
	// maxJudgedShare limits the share while a version is judged, which compares it with the
	// others.
	maxJudgedShare = 0.5
	// completedPart is the part of the time from the move to the deadline that is left when the
	// rollout is completed, unless requests still run on the other versions.
	completedPart = 0.5
	// rateMargin is by how much the rate of requests may grow during the move, and
	// rateDeviations by how many standard deviations their number may exceed the mean.
	rateMargin     = 1.15
	rateDeviations = 2
	// unreportedTime is how long a request that was sent may be in no report: the interval of
	// a host's polls, and the way to the leader.
	unreportedTime = 700 * time.Millisecond
	// decisionTime is the time that passes between two decisions.
	decisionTime = 100 * time.Millisecond
	// A share is changed if it differs by more than minShareChange, at most each
	// minShareInterval, or each part of the duration if that is shorter.
	minShareChange       = 0.2
	minShareInterval     = time.Second
	minShareIntervalPart = 0.1
	// maxShareGrowth limits how much a share grows at once.
	maxShareGrowth = 2
	// maxGrantedPart is the part of the allowed exposure that the shares may add up to while the
	// version is judged, if hosts don't use them up; minGranted is the number of requests from
	// which on the part that they use is known, minUsedShare the smallest one that counts.
	maxGrantedPart = 0.85
	minGranted     = 5
	minUsedShare   = 0.25
	// The share of the prompts grows by promptShareGrowth while the hosts use less than
	// fewPrompts of the share.
	fewPrompts        = 0.8
	promptShareGrowth = 4
	// minShare is the smallest share, as a part of the initial one: a version that turns bad
	// must be noticed.
	minShare = 0.2
)

// completionReserve returns how long before the deadline a rollout is completed at the latest.
func (i *Input) completionReserve() time.Duration {
	return max(i.SlowCommitTime, i.CommitTime) + decisionTime
}

// moveTime returns how long before the deadline everything must move at the latest, if a commit
// takes the given time.
func (i *Input) moveTime(commitTime time.Duration) time.Duration {
	return 2*commitTime + i.SpreadTime*3/2 + decisionTime
}

// movePlan is when everything moves, and what may be exposed until then.
type movePlan struct {
	isDue bool
	// isLast is set if there is no time left to wait for more responses.
	isLast bool
	// judged is the number of requests that the version may get while it is judged,
	// requests the number expected until the move.
	judged  float64
	allowed float64
	// reported is the number of requests that the version got by the reports, exposed includes
	// those that may be in none yet.
	reported float64
	exposed  float64
	requests float64
	until    time.Duration
}

// plan plans the exposure. All that comes after the move counts as exposed, since the version
// may turn bad at any time.
func (c *Controller) plan(input *Input, counts *ServiceReport, rate float64) movePlan {
	remaining, requests := input.remaining().Seconds(), float64(counts.Requests)
	allowed := c.bounds.ExposedShare*(requests+rate*remaining) + float64(c.bounds.ExposedExtra)
	judged := min(judgedPart*allowed, allowed-expectedAtMost(rate*input.moveTime(max(input.SlowCommitTime, input.CommitTime)).Seconds()))
	judged = max(judged, minJudgedPart*allowed)
	unreported := input.Share * rate * unreportedTime.Seconds()
	plan := movePlan{judged: judged, allowed: allowed, reported: float64(counts.Exposed), exposed: float64(counts.Exposed) + unreported}
	latest := input.Duration - input.moveTime(input.CommitTime)
	at := latest
	if rate > 0 {
		at = min(at, input.Duration-seconds((allowed-judged)/(rateMargin*rate)))
	}
	earliest := min(time.Duration(earliestMove*float64(input.Duration)), latest)
	at = max(at, earliest)
	plan.until = max(at-input.Elapsed, 0)
	plan.requests = rate * plan.until.Seconds()

	rest := (c.bounds.ExposedShare*requests + float64(c.bounds.ExposedExtra) - float64(counts.Exposed) - unreported) / (1 - min(c.bounds.ExposedShare, 0.99))
	plan.isLast = input.Elapsed >= latest
	plan.isDue = plan.isLast || input.Elapsed >= earliest && expectedAtMost(rate*remaining) <= rest
	return plan
}

// nextShare returns the share that uses up the planned exposure, that of the prompts, and whether
// those in force should be changed.
func (c *Controller) nextShare(input *Input, plan movePlan) (share, promptShare float64, changes bool) {
	interval := min(minShareInterval, time.Duration(minShareIntervalPart*float64(input.Duration)))
	lowest := minShare * c.bounds.InitialShare()
	if plan.exposed >= plan.judged && input.Share > lowest {
		return lowest, input.PromptShare, true
	}
	if plan.requests <= 0 || input.Elapsed-c.shareAt < interval || plan.until < interval {
		return 0, 0, false
	}
	// Hosts that get few requests, or few of the prompts that belong to the version, use a part
	// of the share.
	used := 1.0
	if c.granted >= minGranted {
		used = min(max(plan.reported/c.granted, minUsedShare), 1)
	}
	share = min((plan.judged-plan.exposed)/(used*plan.requests), (maxGrantedPart*plan.allowed-c.granted)/plan.requests)
	share = min(max(share, lowest), maxJudgedShare)
	if input.Share > 0 {
		share = min(share, maxShareGrowth*input.Share)
	}
	promptShare = max(input.PromptShare, share)
	if used < fewPrompts {
		promptShare = min(promptShareGrowth*promptShare, 1)
	}
	difference := math.Abs(share - input.Share)
	return share, promptShare, difference > minShareChange*input.Share || promptShare > (1+minShareChange)*input.PromptShare
}

// rate estimates the requests per second: the highest of the averages since the order, over
// the samples and over the latest ones.
func (c *Controller) rate(input *Input, counts *ServiceReport) float64 {
	if input.Elapsed <= 0 {
		return 0
	}
	// The latest requests are not reported yet.
	rate := float64(counts.Requests) / (input.Elapsed - min(unreportedTime, input.Elapsed)/2).Seconds()
	for _, span := range []int{len(c.samples) - 1, 4} {
		if span < 2 || span >= len(c.samples) {
			continue
		}
		first, last := &c.samples[len(c.samples)-1-span], &c.samples[len(c.samples)-1]
		recent := float64(last.counts.Requests-min(first.counts.Requests, last.counts.Requests)) / last.at.Sub(first.at).Seconds()
		rate = max(rate, recent)
	}
	return rate
}

// expectedAtMost returns how many requests may come where a number is expected.
func expectedAtMost(expected float64) float64 {
	return rateMargin*expected + rateDeviations*math.Sqrt(expected)
}

// seconds converts a number of seconds, which may be very large.
func seconds(number float64) time.Duration {
	return time.Duration(min(number, (1000*time.Hour).Seconds()) * float64(time.Second))
}
