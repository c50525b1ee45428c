package rollout

import (
	"fmt"
	"time"
)

const (
	// sampleInterval is the interval between two samples of the counts, maxSamples their
	// number: the comparisons look at all counts and at those of the last 2.5 s.
	sampleInterval = 250 * time.Millisecond
	maxSamples     = 11
	// maxColdShare and maxColdPart bound the time in which slow responses of the new version
	// count as those of cold caches: a part of the duration and of Bounds.RevertWithin.
	maxColdShare = 0.25
	maxColdPart  = 0.5
	// minJudged is the number of responses that a verdict needs, minJudgedShare the share of
	// the requests that suffices if there are few.
	minJudged      = 20
	minJudgedShare = 0.02
	// minJudgedLast replaces minJudged when no time is left: the move is within the bounds.
	minJudgedLast = 5
)

// Bounds are what callers accept.
type Bounds struct {
	// ExposedShare and ExposedExtra bound the requests that a bad version gets.
	ExposedShare float64
	ExposedExtra int
	// RevertWithin is the time after the 50th bad response by which all hosts must have left
	// a bad version.
	RevertWithin time.Duration
}

// InitialShare returns the share of the requests that a version gets before their rate is
// known.
func (b *Bounds) InitialShare() float64 { return b.ExposedShare * judgedPart }

// Input is what a decision is based on.
type Input struct {
	Now time.Time
	// Elapsed is the time since the order, Duration that from the order to the deadline.
	Elapsed  time.Duration
	Duration time.Duration
	// Share is the share in force. With 1, everything moves.
	Share float64
	// PromptShare is the share of the prompts that belong to the new version.
	PromptShare float64
	// Counts are the sums of all reports.
	Counts *ServiceReport
	// HostsHaveShare is set if all hosts in contact have the share in force.
	HostsHaveShare bool
	// RunningOnOthers is the number of requests in flight on the other versions.
	RunningOnOthers int
	// CommitTime is how long a step usually takes to be committed, SlowCommitTime how long the
	// slower ones of the latest took, and SpreadTime how long it takes until all hosts have it.
	CommitTime     time.Duration
	SlowCommitTime time.Duration
	SpreadTime     time.Duration
}

// remaining returns the time until the deadline.
func (i *Input) remaining() time.Duration { return i.Duration - i.Elapsed }

// Action is what a decision does.
type Action string

// The actions.
const (
	// Keep changes nothing.
	Keep Action = "Keep"
	// SetShare changes the share of the new version; 1 moves everything.
	SetShare Action = "SetShare"
	// Complete ends the rollout with success.
	Complete Action = "Complete"
	// Revert ends the rollout: no request goes to the new version any more.
	Revert Action = "Revert"
)

// Decision is the result of Controller.Decide.
type Decision struct {
	Action Action
	// Share and PromptShare are those from now on.
	Share       float64
	PromptShare float64
	// Reason tells what decided, for the log.
	Reason string
	// Rate is the estimated number of requests per second.
	Rate float64
}

// Controller decides on the share of one rollout. It is not safe for concurrent use.
type Controller struct {
	bounds Bounds
	losses map[string]*routeLosses
	// samples are earlier counts, the latest last.
	samples []sample
	// granted is the number of requests that the shares in force allowed so far, and
	// grantedFor the number of requests that are counted in it.
	granted    float64
	grantedFor uint64
	shareAt    time.Duration
	// warm holds the counts since which slow responses count, moved those at the move of
	// everything; nil before.
	firstResponseAt time.Time
	warm            *sample
	moved           *sample
	// movedBefore is how long before the deadline everything moved.
	movedBefore time.Duration
}

// sample holds counts at a time.
type sample struct {
	at     time.Time
	counts ServiceReport
}

// NewController returns a controller for one rollout.
func NewController(bounds Bounds) *Controller {
	return &Controller{bounds: bounds, losses: map[string]*routeLosses{}}
}

// Decide decides on the next step.
func (c *Controller) Decide(input Input) Decision {
	counts := c.countLosses(input.Now, input.Counts)
	c.observe(&input, &counts)
	rate := c.rate(&input, &counts)
	decision := c.decide(&input, &counts, rate)
	decision.Rate = rate
	if decision.Action == SetShare {
		c.shareAt = input.Elapsed
	}
	return decision
}

func (c *Controller) decide(input *Input, counts *ServiceReport, rate float64) Decision {
	if reason := c.fault(counts); reason != "" {
		return Decision{Action: Revert, Reason: reason}
	}
	newSide, _ := counts.totals()
	if input.Share >= 1 {
		return c.decideCompletion(input, newSide.Responses > 0)
	}
	if input.remaining() <= 0 {
		return Decision{Action: Revert, Reason: fmt.Sprintf("the deadline has passed without a verdict, after %d responses", newSide.Responses)}
	}
	plan := c.plan(input, counts, rate)
	if plan.isDue {
		if reason := missingEvidence(counts, plan.isLast); reason != "" {
			return Decision{Action: Keep, Reason: reason}
		}
		return Decision{Action: SetShare, Share: 1, PromptShare: 1, Reason: fmt.Sprintf("no fault in %d responses, and %s are left", newSide.Responses, input.remaining())}
	}
	if share, promptShare, changes := c.nextShare(input, plan); changes {
		return Decision{Action: SetShare, Share: share, PromptShare: promptShare, Reason: "the share is fitted to the rate of requests"}
	}
	return Decision{Action: Keep}
}

// decideCompletion decides once everything moves. The rollout stays open for a while, so that a
// fault can still revert it, and until shortly before the deadline if streams on the old targets
// have not ended.
func (c *Controller) decideCompletion(input *Input, hasServed bool) Decision {
	reserve := input.completionReserve()
	if input.RunningOnOthers == 0 {
		reserve = max(reserve, time.Duration(completedPart*float64(c.movedBefore)))
	}
	switch {
	case input.remaining() <= 0 && !hasServed:
		return Decision{Action: Revert, Reason: "no target of the version has taken traffic by the deadline"}
	case input.remaining() <= -c.bounds.RevertWithin:
		return Decision{Action: Revert, Reason: "hosts lack the last share long after the deadline"}
	case !hasServed || !input.HostsHaveShare || input.remaining() > reserve:
		return Decision{Action: Keep}
	}
	return Decision{Action: Complete, Share: 1, PromptShare: 1, Reason: fmt.Sprintf("all hosts have left the other versions, on which %d requests still run", input.RunningOnOthers)}
}

// missingEvidence returns what a verdict lacks; "" for nothing.
func missingEvidence(counts *ServiceReport, isLast bool) string {
	newSide, others := counts.totals()
	needed := min(minJudged, uint64(minJudgedShare*float64(counts.Requests)))
	if isLast {
		needed = min(needed, minJudgedLast)
	}
	if newSide.Responses < needed {
		return fmt.Sprintf("%d responses of %d that a verdict needs", newSide.Responses, needed)
	}
	// A version that hangs has no bad responses before its callers give up.
	sentToOthers := counts.Requests - min(counts.Exposed, counts.Requests)
	waiting, waitingOthers := unanswered(counts.Exposed, &newSide), unanswered(sentToOthers, &others)
	if exceeds(waiting, counts.Exposed, waitingOthers, sentToOthers, slowFactor, minSlowRate, &judging) {
		return fmt.Sprintf("%d of %d requests have no response yet, %d of %d to the other versions", waiting, counts.Exposed, waitingOthers, sentToOthers)
	}
	return ""
}

// unanswered returns how many of the requests that were sent have no response.
func unanswered(sent uint64, side *Side) uint64 { return sent - min(side.Responses+side.NotRun, sent) }

// fault returns why the version is bad; "" if it is not.
func (c *Controller) fault(counts *ServiceReport) string {
	if c.moved != nil {
		return c.faultAfterMove(counts)
	}
	if reason := failures(counts, nil, &judging); reason != "" {
		return reason
	}
	if c.warm != nil {
		if reason := slowness(counts, &c.warm.counts, &judging); reason != "" {
			return reason
		}
	}
	if len(c.samples) == 0 {
		return ""
	}
	recent := &c.samples[0]
	if reason := failures(counts, &recent.counts, &judging); reason != "" {
		return reason
	}
	if c.warm != nil && !recent.at.Before(c.warm.at) {
		return slowness(counts, &recent.counts, &judging)
	}
	return ""
}

// faultAfterMove compares what the new version did since the move with what the others did
// before.
func (c *Controller) faultAfterMove(counts *ServiceReport) string {
	since := c.since(counts, &c.moved.counts)
	if reason := failures(&since, nil, &moving); reason != "" {
		return reason
	}
	if c.warm == nil || c.warm.at.Before(c.moved.at) {
		return ""
	}
	since = c.since(counts, &c.warm.counts)
	return slowness(&since, nil, &moving)
}

// since returns the counts with those of the new version since an earlier state.
func (c *Controller) since(counts, earlier *ServiceReport) ServiceReport {
	result := counts.Clone()
	for i := range result.Routes {
		result.Routes[i].New = result.Routes[i].New.since(&earlier.route(result.Routes[i].Route).New)
	}
	return result
}

// observe updates what the controller remembers.
func (c *Controller) observe(input *Input, counts *ServiceReport) {
	c.granted += input.Share * float64(counts.Requests-min(c.grantedFor, counts.Requests))
	c.granted, c.grantedFor = max(c.granted, float64(counts.Exposed)), counts.Requests
	newSide, _ := counts.totals()
	if c.firstResponseAt.IsZero() && newSide.Responses > 0 {
		c.firstResponseAt = input.Now
	}
	cold := min(time.Duration(maxColdShare*float64(input.Duration)), time.Duration(maxColdPart*float64(c.bounds.RevertWithin)))
	if c.warm == nil && !c.firstResponseAt.IsZero() && input.Now.Sub(c.firstResponseAt) >= cold {
		c.warm = &sample{input.Now, counts.Clone()}
	}
	if c.moved == nil && input.Share >= 1 {
		c.moved, c.movedBefore = &sample{input.Now, counts.Clone()}, input.remaining()
	}
	if c.moved != nil && c.warm != nil && c.warm.at.Before(c.moved.at) && input.Now.Sub(c.moved.at) >= cold {
		c.warm = &sample{input.Now, counts.Clone()}
	}
	if last := len(c.samples) - 1; last >= 0 && input.Now.Sub(c.samples[last].at) < sampleInterval {
		return
	}
	c.samples = append(c.samples, sample{input.Now, counts.Clone()})
	if len(c.samples) > maxSamples {
		c.samples = c.samples[1:]
	}
}

// failures returns why the new version is bad by its failures on a route or on all together, ""
// if it is not. earlier holds counts that are left out; nil for none.
func failures(counts, earlier *ServiceReport, limits *thresholds) string {
	var together comparison
	for i := range counts.Routes {
		route := routeSince(counts, earlier, i)
		if reason := compareFailures(&route.New, &route.Others, limits); reason != "" {
			return fmt.Sprintf("route %q: %s", route.Route, reason)
		}
		together.add(&route.New, &route.Others)
	}
	return together.fault(limits)
}

// slowness returns why the new version is bad by its times to first byte, as failures does.
func slowness(counts, earlier *ServiceReport, limits *thresholds) string {
	var newSide, others Side
	for i := range counts.Routes {
		route := routeSince(counts, earlier, i)
		if reason := compareTimes(&route.New, &route.Others, limits); reason != "" {
			return fmt.Sprintf("route %q: %s", route.Route, reason)
		}
		newSide.add(&route.New)
		others.add(&route.Others)
	}
	if reason := compareTimes(&newSide, &others, limits); reason != "" {
		return "all routes: " + reason
	}
	return ""
}

// routeSince returns the counts of a route since an earlier state, which may be nil.
func routeSince(counts, earlier *ServiceReport, i int) RouteReport {
	route := counts.Routes[i]
	if earlier != nil {
		base := earlier.route(route.Route)
		route.New, route.Others = route.New.since(&base.New), route.Others.since(&base.Others)
	}
	return route
}
