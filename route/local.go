package route

import (
	"slices"
	"time"
)

// LocalTarget is the state of a target as known to one entry host that makes its own
// decisions. Other hosts have only roughly the same view.
type LocalTarget struct {
	// Key is a hash of the target's name.
	Key uint64
	// Availability is why the target takes no new requests; Open if it does.
	Availability Reason
	// SameDomain is set for a target in the host's own failure domain.
	SameDomain bool
	// AtCapacity is set if this host has used up its share of a target that is warming
	// up, or if the target has just refused a request.
	AtCapacity bool
	// Unhealthy is set after failures, until the target answers again.
	Unhealthy bool
	// RecentlyJoined is set for a target that joined a short time ago and has cached
	// nothing yet.
	RecentlyJoined bool
	// Slots is the number of requests that the target runs at once; 0 for unknown.
	// Running and Waiting are estimates over all hosts.
	Slots   int
	Running float64
	Waiting float64
	// CachedTokens is the number of the prompt's tokens that this host knows to be
	// cached on the target.
	CachedTokens int
	// FailureRate is the fraction of recent calls that failed, from 0 to 1.
	FailureRate float64
}

// LocalCosts are the costs of a local choice, as times.
type LocalCosts struct {
	// PrefillToken is the cost of a prompt token that has to be processed, FetchToken
	// that of a token whose cache entry is copied from another target.
	PrefillToken time.Duration
	FetchToken   time.Duration
	// Running is the delay that one more running request causes for itself and the
	// others.
	Running time.Duration
	// Waiting is the time until a queue advances by one request.
	Waiting time.Duration
	// CrossDomain is the cost of a target in another failure domain.
	CrossDomain time.Duration
	// FailureRate is the cost of a target whose calls all fail. It is charged in
	// proportion to the target's failure rate.
	FailureRate time.Duration
	// Unhealthy is the cost of a target that has just failed to answer.
	Unhealthy time.Duration
	// Overload is the cost of a target at the high bound.
	Overload time.Duration
}

// Above largeFleetTargets targets the low bound is lower: with more hosts and targets,
// load reports are older and more requests arrive between them.
const (
	largeFleetTargets   = 32
	largeFleetLowFactor = 1.4
	largeFleetLowExtra  = 1
	// The capacity over which a prompt spreads in a large fleet. Many hosts share the
	// few requests of a prompt there, unless it is hot, so an outdated view costs each
	// host little.
	largeFleetHotCapacity  = 48
	largeFleetCoolCapacity = 6
)

// The low and the high bound on the requests of one target are a multiple of the mean
// plus an offset. Between them, other targets are increasingly preferred, and prompts
// that are cheap to move leave first.
const (
	lowFactor  = 1.6
	lowExtra   = 1.5
	highFactor = 2.1
	highExtra  = 3
)

// The limit on the requests of one target is a multiple of the mean plus an offset.
// Above it a target slows down.
const (
	limitFactor = 2
	limitExtra  = 3
)

// minBoundGap is the minimum distance from the mean of the admitting targets to the
// low bound, and from the low to the high bound, however many targets are out.
const minBoundGap = 1

// maxOverload caps the overload, as a multiple of the distance from the low to the
// high bound, that is charged for a target.
const maxOverload = 2

// LocalChoice is the result of a local decision.
type LocalChoice struct {
	// Target is the index of the chosen target, or None.
	Target int
	// CacheSource is a target that is expected to have cached more of the prompt, or
	// None.
	CacheSource int
	// Home is set if the chosen target is the home of the prompt.
	Home bool
}

// ChooseLocal chooses the target with the lowest cost for a prompt of the given number
// of tokens. The home of a prompt is the first target in rendezvous order for its key.
// Every host computes the same home, so the prompt is cached there and processed once
// in the whole fleet.
//
// The rule is designed for returning prompts next to a hot one, on hosts whose load
// reports are one second old. Choosing by least load alone would process each prompt
// on every target; choosing the home alone would overload the home of a popular
// prompt. A request leaves the home when the load there costs more than copying the
// prompt's cache to another target.
//
// point is a random number by which requests that leave a full home spread over
// other targets, over more of them if the prompt is hot.
func ChooseLocal(key, point uint64, hot bool, tokens int, targets []LocalTarget, costs *LocalCosts) LocalChoice {
	order := rendezvousRank(key, targets)
	mean := meanRunning(targets)
	low, high := targetBounds(mean, targets)
	if order.home != None && targets[order.home].Running+1 > low {
		if at := spread(key, point, hot, low, targets); at != None {
			return LocalChoice{Target: at, CacheSource: order.cacheSource(at, targets), Home: at == order.home}
		}
	}
	choice := LocalChoice{Target: None, CacheSource: None}
	var best time.Duration
	for i := range targets {
		target := &targets[i]
		if target.Availability != Open || target.AtCapacity {
			continue
		}
		source := order.cacheSource(i, targets)
		cost := loadCost(target, low, high, costs) + promptCost(i, source, tokens, targets, &order, costs)
		if choice.Target == None || cost < best {
			best = cost
			choice = LocalChoice{Target: i, CacheSource: source, Home: i == order.home}
		}
	}
	if choice.Target != None && shouldRefuse(&targets[choice.Target], point, low, mean, targets) {
		return LocalChoice{Target: None, CacheSource: None}
	}
	return choice
}

// shouldRefuse reports whether a request should be refused rather than sent to the
// cheapest target, because that target already has more than its share and others are
// at capacity.
//
// This guards a rolling release that leaves one warm target among cold ones. The
// refused fraction grows from 0 at the low bound to 1 at the limit, so that hosts that
// know little of each other's requests do not overload the target together.
func shouldRefuse(target *LocalTarget, point uint64, low, mean float64, targets []LocalTarget) bool {
	overload := (target.Running + 1 - low) / (limitFactor*mean + limitExtra - low)
	if overload <= 0 {
		return false
	}
	if !slices.ContainsFunc(targets, func(t LocalTarget) bool { return t.Availability == Open && t.AtCapacity }) {
		return false
	}
	// The low bits of point select the target in spread.
	const points = 1 << 20
	return float64(point>>44%points)/points < overload
}

// promptCost returns the time to process or fetch the part of a prompt that the target
// has not cached.
func promptCost(i, source, tokens int, targets []LocalTarget, order *rendezvousOrder, costs *LocalCosts) time.Duration {
	cached := targets[i].CachedTokens
	if i == order.home && source == None {
		cached = tokens
	}
	missing := time.Duration(tokens - min(cached, tokens))
	cost := missing * costs.PrefillToken
	if source != None {
		cost = missing * costs.FetchToken
	}
	if order.home != None && i != order.home {
		// The next request with this prompt goes to the home again.
		cost += missing * costs.FetchToken / 2
	}
	return cost
}

// loadCost returns the delay that a request is expected to suffer from other requests
// on the target.
func loadCost(target *LocalTarget, low, high float64, costs *LocalCosts) time.Duration {
	cost := time.Duration(target.Running*float64(costs.Running)) +
		time.Duration(target.Waiting*float64(costs.Waiting)) +
		time.Duration(target.FailureRate*float64(costs.FailureRate))
	if target.Slots > 0 && target.Running >= float64(target.Slots) {
		overload := target.Running - float64(target.Slots) + 1
		cost += time.Duration(overload * float64(costs.Waiting))
	}
	if overload := (target.Running + 1 - low) / (high - low); overload > 0 {
		cost += time.Duration(min(overload, maxOverload) * float64(costs.Overload))
	}
	if !target.SameDomain {
		cost += costs.CrossDomain
	}
	if target.Unhealthy {
		cost += costs.Unhealthy
	}
	return cost
}

// loadBounds returns the low and the high bound on the requests of one target.
func loadBounds(mean float64, targets int) (low, high float64) {
	if targets > largeFleetTargets {
		return largeFleetLowFactor*mean + largeFleetLowExtra, highFactor*mean + highExtra
	}
	return lowFactor*mean + lowExtra, highFactor*mean + highExtra
}

// targetBounds returns the bounds for the given targets. Targets that take no new
// requests but still run some, for example while a failure domain is out, count in the
// mean by which overload is judged, and reduce the distance of the other targets to
// their bounds. The low bound is then halfway to the limit, since below it every
// additional request that leaves its home costs a copy.
func targetBounds(mean float64, targets []LocalTarget) (low, high float64) {
	low, high = loadBounds(mean, len(targets))
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
	meanAll := sum / float64(count)
	lowAll, highAll := loadBounds(meanAll, len(targets))
	lowAll = (lowAll + limitFactor*meanAll + limitExtra) / 2
	low = min(low, max(lowAll, mean+minBoundGap))
	return low, min(high, max(highAll, low+minBoundGap))
}

// meanRunning returns the mean over the targets that take new requests.
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

// rendezvousOrder holds the first targets in rendezvous order for a key.
type rendezvousOrder struct {
	// first and second are the first two of all targets that may have cached the
	// prompt, including those that take no new requests. home is the first one that
	// takes new requests.
	first  int
	second int
	home   int
}

// rendezvousRank finds the first targets in rendezvous order for a key; a key of 0 has
// none. A recently joined target is no home while there are others: each prompt that
// moves to it has to be copied, and it receives the overflow of the other targets
// anyway.
func rendezvousRank(key uint64, targets []LocalTarget) rendezvousOrder {
	order := rendezvousOrder{first: None, second: None, home: None}
	if key == 0 {
		return order
	}
	hasEstablished := false
	for i := range targets {
		target := &targets[i]
		hasEstablished = hasEstablished || target.Availability == Open && !target.RecentlyJoined && !target.Unhealthy
	}
	var firstScore, secondScore, homeScore uint64
	for i := range targets {
		target := &targets[i]
		if target.Unhealthy || target.Availability == Gone || hasEstablished && target.RecentlyJoined {
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

// cacheSource returns the target from which target i can copy the prompt: the home, or
// the target that was the home before the set of targets changed.
func (r *rendezvousOrder) cacheSource(i int, targets []LocalTarget) int {
	source := r.home
	switch {
	case r.home == None:
		return None
	case r.first != r.home:
		source = r.first
	case targets[r.home].RecentlyJoined:
		source = r.second
	}
	if source == i {
		return None
	}
	return source
}
