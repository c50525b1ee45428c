package rollout

import "time"

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
	// rateMargin is by how much the rate of requests may grow during the move.
	rateMargin = 1.15
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
)

// completionReserve returns how long before the deadline a rollout is completed.
func (i *Input) completionReserve() time.Duration { return i.CommitTime*3/2 + decisionTime }

// moveTime returns how long before the deadline everything must move at the latest.
func (i *Input) moveTime() time.Duration {
	return i.CommitTime + i.SpreadTime*3/2 + i.completionReserve()
}

// movePlan is when everything moves, and what may be exposed until then.
type movePlan struct {
	isDue bool
	// judged is the number of requests that the version may get while it is judged,
	// requests the number expected until the move.
	judged   float64
	requests float64
	until    time.Duration
}

// plan plans the exposure. All that comes after the move counts as exposed, since the version
// may turn bad at any time.
func (c *Controller) plan(input *Input, counts *ServiceReport, rate float64) movePlan {
	remaining, requests := input.remaining().Seconds(), float64(counts.Requests)
	allowed := c.bounds.ExposedShare*(requests+rate*remaining) + float64(c.bounds.ExposedExtra)
	judged := min(judgedPart*allowed, allowed-rateMargin*rate*input.moveTime().Seconds())
	judged = max(judged, minJudgedPart*allowed)
	plan := movePlan{judged: judged}
	latest := input.Duration - input.moveTime()
	at := latest
	if rate > 0 {
		at = min(at, input.Duration-seconds((allowed-judged)/(rateMargin*rate)))
	}
	earliest := min(time.Duration(earliestMove*float64(input.Duration)), latest)
	at = max(at, earliest)
	plan.until = max(at-input.Elapsed, 0)
	plan.requests = rate * plan.until.Seconds()

	exposed := float64(counts.Exposed) + input.Share*rate*unreportedTime.Seconds()
	rest := (c.bounds.ExposedShare*requests + float64(c.bounds.ExposedExtra) - exposed) / (1 - min(c.bounds.ExposedShare, 0.99))
	plan.isDue = input.Elapsed >= latest || input.Elapsed >= earliest && rateMargin*rate*remaining <= rest
	return plan
}

// nextShare returns the share that uses up the planned exposure, and whether the share in force
// differs so much that it should be changed.
func (c *Controller) nextShare(input *Input, plan movePlan) (share float64, changes bool) {
	interval := min(minShareInterval, time.Duration(minShareIntervalPart*float64(input.Duration)))
	if plan.requests <= 0 || input.Elapsed-c.shareAt < interval || plan.until < interval {
		return 0, false
	}
	share = max((plan.judged-c.granted)/plan.requests, 0)
	share = min(share, maxJudgedShare)
	if input.Share > 0 {
		share = min(share, maxShareGrowth*input.Share)
	}
	difference := share - input.Share
	return share, difference > minShareChange*input.Share || difference < -minShareChange*input.Share
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

// seconds converts a number of seconds, which may be very large.
func seconds(number float64) time.Duration {
	return time.Duration(min(number, (1000*time.Hour).Seconds()) * float64(time.Second))
}
