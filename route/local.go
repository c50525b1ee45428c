package route

import (
	"slices"
	"time"
)

// LocalTarget is what one entry host knows of a target when it decides by itself, on a
// view that other hosts share only roughly.
type LocalTarget struct {
	// Key is a hash of the target's name.
	Key uint64
	// Availability is why the target takes no new work at all; Open if it does.
	Availability Reason
	// SameDomain is set for a target in the host's own failure domain.
	SameDomain bool
	// AtCapacity is set where this host has used up what it may send to a target that
	// is warming up, or where the target has just refused a request.
	AtCapacity bool
	// Unhealthy is set after failures, until the target answers again.
	Unhealthy bool
	// RecentlyJoined is set for a target that was first heard of a short while ago and
	// keeps nothing yet.
	RecentlyJoined bool
	// Slots is the number of requests that the target runs at once; 0 for
	// unknown. Running and Waiting are estimates over all hosts.
	Slots   int
	Running float64
	Waiting float64
	// CachedTokens is the number of the prompt's tokens that this host knows to be kept
	// there.
	CachedTokens int
	// FailureRate is the share of recent calls that failed, 0 to 1.
	FailureRate float64
}

// LocalCosts are the weights of a local choice, in time.
type LocalCosts struct {
	// PrefillToken is charged for a prompt token that is read, Fetch for one that is
	// copied from another target.
	PrefillToken time.Duration
	FetchToken   time.Duration
	// Running is what one more request slows the others and itself.
	Running time.Duration
	// Waiting is the time until a queue moves on by one.
	Waiting time.Duration
	// CrossDomain is charged for a target in another failure domain.
	CrossDomain time.Duration
	// FailureRate is charged in proportion to the share of calls that failed.
	FailureRate time.Duration
	// Unhealthy is charged for a target that has just failed to answer.
	Unhealthy time.Duration
	// Overload is charged for a target that runs as much as the high bound.
	Overload time.Duration
}

// largeFleet is the number of targets from which the low bound is lower: with more
// hosts and targets reports are older and arrivals between them more.
const (
	largeFleet     = 32
	largeLowFactor = 1.4
	largeLowExtra  = 1
	// In a large fleet many hosts share few requests for a prompt, unless it is
	// hot: each of them has little to lose to an old view.
	largeHotRoom  = 48
	largeCoolRoom = 6
)

// Between the low and the high bound on one target's requests, each a multiple of
// the mean and a few, another target is preferred more and more. What is cheap to
// move leaves first.
const (
	lowFactor  = 1.6
	lowExtra   = 1.5
	highFactor = 2.1
	highExtra  = 3
)

// The limit is the most that one target should hold, a multiple of the mean and a
// few. A target falls behind from there on.
const (
	limitFactor = 2
	limitExtra  = 3
)

// leastRoom is kept between the mean of the targets that take work, the low bound
// and the high one, however many are out.
const leastRoom = 1

// mostOver bounds the price of a target beyond the high bound.
const mostOver = 2

// LocalChoice is the outcome of a local decision.
type LocalChoice struct {
	// Target is the index of the target, or None.
	Target int
	// CacheSource is a target that is believed to keep more of the prompt, or None.
	CacheSource int
	// Home is set when the target is the home of the prompt.
	Home bool
}

// ChooseLocal picks the cheapest target for a prompt of so many tokens. A prompt
// has a home, the first of the targets in rendezvous order for its key, which
// every host finds alike: there it is kept, and read once in the whole fleet.
//
// It answers a load of returning prompts under a hot one, on hosts whose reports
// are a second old. Least load alone would read each prompt on every target; the
// home alone would fill up with a popular prompt. A request leaves the home when
// its load costs more than copying the prompt to another target.
//
// The point is a random number: requests that leave a full home spread by it, far
// where the prompt is hot.
func ChooseLocal(key, point uint64, hot bool, tokens int, targets []LocalTarget, costs *LocalCosts) LocalChoice {
	order := rank(key, targets)
	mean := meanRunning(targets)
	low, high := boundsOf(mean, targets)
	if order.home != None && targets[order.home].Running+1 > low {
		if at := spread(key, point, hot, low, targets); at != None {
			return LocalChoice{Target: at, CacheSource: order.holder(at, targets), Home: at == order.home}
		}
	}
	choice := LocalChoice{Target: None, CacheSource: None}
	var best time.Duration
	for i := range targets {
		target := &targets[i]
		if target.Availability != Open || target.AtCapacity {
			continue
		}
		holder := order.holder(i, targets)
		cost := loadCost(target, low, high, costs) + promptCost(i, holder, tokens, targets, &order, costs)
		if choice.Target == None || cost < best {
			best = cost
			choice = LocalChoice{Target: i, CacheSource: holder, Home: i == order.home}
		}
	}
	if choice.Target != None && crowds(&targets[choice.Target], point, low, mean, targets) {
		return LocalChoice{Target: None, CacheSource: None}
	}
	return choice
}

// crowds reports whether a request is better refused than sent to the cheapest
// target, since others take no more for now and this one has more than its part
// already.
//
// It answers a release that leaves one warm target beside cold ones. The refused
// part grows from none at the low bound to all at the limit, so that hosts that
// know little of each other's requests do not overshoot together.
func crowds(target *LocalTarget, point uint64, low, mean float64, targets []LocalTarget) bool {
	over := (target.Running + 1 - low) / (limitFactor*mean + limitExtra - low)
	if over <= 0 {
		return false
	}
	if !slices.ContainsFunc(targets, func(t LocalTarget) bool { return t.Availability == Open && t.AtCapacity }) {
		return false
	}
	// The low bits place requests on targets.
	const points = 1 << 20
	return float64(point>>44%points)/points < over
}

// promptCost is the time to get what a target does not keep of a prompt.
func promptCost(i, holder, tokens int, targets []LocalTarget, order *ranking, costs *LocalCosts) time.Duration {
	kept := targets[i].CachedTokens
	if i == order.home && holder == None {
		kept = tokens
	}
	missing := time.Duration(tokens - min(kept, tokens))
	cost := missing * costs.PrefillToken
	if holder != None {
		cost = missing * costs.FetchToken
	}
	if order.home != None && i != order.home {
		// The next request with this prompt goes to the home again.
		cost += missing * costs.FetchToken / 2
	}
	return cost
}

// loadCost is the time that a request is expected to lose to others on a target.
func loadCost(target *LocalTarget, low, high float64, costs *LocalCosts) time.Duration {
	cost := time.Duration(target.Running*float64(costs.Running)) +
		time.Duration(target.Waiting*float64(costs.Waiting)) +
		time.Duration(target.FailureRate*float64(costs.FailureRate))
	if target.Slots > 0 && target.Running >= float64(target.Slots) {
		over := target.Running - float64(target.Slots) + 1
		cost += time.Duration(over * float64(costs.Waiting))
	}
	if over := (target.Running + 1 - low) / (high - low); over > 0 {
		cost += time.Duration(min(over, mostOver) * float64(costs.Overload))
	}
	if !target.SameDomain {
		cost += costs.CrossDomain
	}
	if target.Unhealthy {
		cost += costs.Unhealthy
	}
	return cost
}

// bounds are the low and the high bound on one target's requests.
func bounds(mean float64, targets int) (low, high float64) {
	if targets > largeFleet {
		return largeLowFactor*mean + largeLowExtra, highFactor*mean + highExtra
	}
	return lowFactor*mean + lowExtra, highFactor*mean + highExtra
}

// boundsOf are the bounds for the targets. Those that take no new work but run
// still, as while a failure domain is out, count in the mean that overload is
// judged by, and leave the others less room above their own mean. The low bound is
// then half way to the limit: below it each request more that leaves its home costs
// a copy.
func boundsOf(mean float64, targets []LocalTarget) (low, high float64) {
	low, high = bounds(mean, len(targets))
	sum, count := 0.0, 0
	for i := range targets {
		if targets[i].Availability != Gone {
			sum += targets[i].Running
			count++
		}
	}
	if count == 0 {
		return low, high
	}
	all := sum / float64(count)
	lowAll, highAll := bounds(all, len(targets))
	lowAll = (lowAll + limitFactor*all + limitExtra) / 2
	low = min(low, max(lowAll, mean+leastRoom))
	return low, min(high, max(highAll, low+leastRoom))
}

// meanRunning is the mean over the targets that take new work.
func meanRunning(targets []LocalTarget) float64 {
	sum, count := 0.0, 0
	for i := range targets {
		if targets[i].Availability == Open {
			sum += targets[i].Running
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// ranking holds the first targets in rendezvous order for a key.
type ranking struct {
	// first and second are those of all targets that may keep the prompt, also
	// of those that take no new work; home is the first that does.
	first  int
	second int
	home   int
}

// rank finds the first targets in rendezvous order for a key; 0 has none. A target
// that has just joined is no home while there are others: each prompt that moves
// to it has to be copied, while what is too much for the others goes there anyway.
func rank(key uint64, targets []LocalTarget) ranking {
	order := ranking{first: None, second: None, home: None}
	if key == 0 {
		return order
	}
	settled := false
	for i := range targets {
		target := &targets[i]
		settled = settled || target.Availability == Open && !target.RecentlyJoined && !target.Unhealthy
	}
	var firstScore, secondScore, homeScore uint64
	for i := range targets {
		target := &targets[i]
		if target.Unhealthy || target.Availability == Gone || settled && target.RecentlyJoined {
			continue
		}
		score := Score(key, target.Key)
		switch {
		case order.first == None || score > firstScore:
			order.second, secondScore = order.first, firstScore
			order.first, firstScore = i, score
		case order.second == None || score > secondScore:
			order.second, secondScore = i, score
		}
		if target.Availability == Open && (order.home == None || score > homeScore) {
			order.home, homeScore = i, score
		}
	}
	return order
}

// holder returns the target from which another one can copy the prompt: its home,
// or the one that was its home before a change of the targets.
func (r *ranking) holder(i int, targets []LocalTarget) int {
	holder := r.home
	switch {
	case r.home == None:
		return None
	case r.first != r.home:
		holder = r.first
	case targets[r.home].RecentlyJoined:
		holder = r.second
	}
	if holder == i {
		return None
	}
	return holder
}
