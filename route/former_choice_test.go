package route

import (
	"math"
	"slices"
	"time"
)

// The decision as it was before targets had slowdowns and memory, which the present one
// is compared with.

func formerChooseLocal(key, random uint64, traffic Traffic, tokens int, targets []LocalTarget, costs *LocalCosts) LocalChoice {
	order := formerNewOrder(key, targets)
	mean, meanUnlimited := formerMeanInFlight(targets)
	low, high := traffic.formerTargetBounds(mean, targets)
	if order.home != None && targets[order.home].InFlight+1 > low {
		if at := formerSpread(key, random, traffic.promptArrivals(), low, targets); at != None {
			return LocalChoice{Target: at, CacheSource: order.cacheSource(at, targets), Home: at == order.home}
		}
	}
	choice := LocalChoice{Target: None, CacheSource: None}
	var best time.Duration
	takesRest := key != 0 && formerSlotsBesideLimits(targets) > 0
	for i := range targets {
		target := &targets[i]
		if target.Availability != Available || target.AtCapacity || takesRest && target.SlotsInUse {
			continue
		}
		source := order.cacheSource(i, targets)
		cost := formerLoadCost(target, low, high, costs) + formerPromptCost(i, source, tokens, targets, &order, costs)
		if choice.Target == None || cost < best {
			best = cost
			choice = LocalChoice{Target: i, CacheSource: source, Home: i == order.home}
		}
	}
	if choice.Target != None && formerShouldRefuse(&targets[choice.Target], random, meanUnlimited, targets) {
		return LocalChoice{Target: None, CacheSource: None}
	}
	return choice
}

func formerShouldRefuse(target *LocalTarget, random uint64, mean float64, targets []LocalTarget) bool {
	limit := formerSlowdownLoad(mean)
	start := (mean + limit) / 2
	overload := (target.InFlight + 1 - start) / (limit - start)
	if overload <= 0 {
		return false
	}
	if !slices.ContainsFunc(targets, func(t LocalTarget) bool { return t.Availability == Available && t.AtCapacity && !t.RateLimited }) {
		return false
	}
	const resolution = 1 << 20
	return float64(random>>44%resolution)/resolution < overload
}

func formerPromptCost(i, source, tokens int, targets []LocalTarget, order *formerOrder, costs *LocalCosts) time.Duration {
	cached := targets[i].CachedTokens
	if i == order.home && source == None {
		cached = tokens
	}
	missing := time.Duration(tokens - min(cached, tokens))
	cost := missing * costs.PrefillToken
	if source != None {
		cost = missing * costs.TransferToken
	}
	if order.home != None && i != order.home {
		cost += missing * costs.TransferToken / 2
	}
	return cost
}

func formerLoadCost(target *LocalTarget, low, high float64, costs *LocalCosts) time.Duration {
	cost := time.Duration(target.InFlight*float64(costs.InFlight)) +
		time.Duration(target.Queued*float64(costs.Queued)) +
		time.Duration(target.FailureRate*float64(costs.FailureRate))
	if target.Slots > 0 && target.InFlight >= float64(target.Slots) {
		queued := target.InFlight - float64(target.Slots) + 1
		cost += time.Duration(queued * float64(costs.Queued))
	}
	if overload := (target.InFlight + 1 - low) / (high - low); overload > 0 {
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

func formerMeanInFlight(targets []LocalTarget) (mean, unlimited float64) {
	sum, count, unlimitedSum, unlimitedCount := 0.0, 0, 0.0, 0
	for i := range targets {
		if targets[i].Availability != Available {
			continue
		}
		sum += targets[i].InFlight
		count++
		if !targets[i].RateLimited {
			unlimitedSum += targets[i].InFlight
			unlimitedCount++
		}
	}
	mean = sum / float64(max(count, 1))
	if unlimitedCount == 0 {
		return mean, mean
	}
	return mean, unlimitedSum / float64(unlimitedCount)
}

type formerOrder struct {
	first  int
	second int
	home   int
}

func formerNewOrder(key uint64, targets []LocalTarget) formerOrder {
	order := formerOrder{first: None, second: None, home: None}
	if key == 0 {
		return order
	}
	hasEstablished := false
	for i := range targets {
		target := &targets[i]
		hasEstablished = hasEstablished || target.Availability == Available && !target.RecentlyJoined && !target.Unhealthy
	}
	var firstScore, secondScore uint64
	preferred, unlimited, withSlot := formerTopTarget{at: None}, formerTopTarget{at: None}, formerTopTarget{at: None}
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
		if target.Availability != Available {
			continue
		}
		preferred.offer(i, score)
		if !target.RateLimited {
			unlimited.offer(i, score)
		}
		if !target.hasNoSlot() {
			withSlot.offer(i, score)
		}
	}
	switch {
	case preferred.at != None && !targets[preferred.at].hasNoSlot():
		order.home = preferred.at
	case unlimited.at != None:
		order.home = unlimited.at
	default:
		order.home = withSlot.at
	}
	return order
}

type formerTopTarget struct {
	at    int
	score uint64
}

func (t *formerTopTarget) offer(i int, score uint64) {
	if t.at == None || score > t.score {
		t.at, t.score = i, score
	}
}

func (r *formerOrder) cacheSource(i int, targets []LocalTarget) int {
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
func formerSlowdownLoad(mean float64) float64 { return slowdownFactor*mean + slowdownExtra }

func (t Traffic) formerLoadBounds(mean float64) (low, high float64) {
	duration := t.Duration
	if duration <= 0 {
		duration = defaultDuration
	}
	replaced := 1 - math.Exp(-float64(t.ReportAge)/float64(duration))
	limit := formerSlowdownLoad(mean)
	low = max(limit-overloadQuantile*math.Sqrt(mean*replaced), mean+minBoundGap)
	return low, max(limit, low+minBoundGap)
}

func (t Traffic) formerTargetBounds(mean float64, targets []LocalTarget) (low, high float64) {
	low, high = t.formerLoadBounds(mean)
	sum, count := 0.0, 0
	for i := range targets {
		if targets[i].Availability != Gone {
			sum += targets[i].InFlight
			count++
		}
	}
	if count == 0 {
		return low, high
	}
	meanAll := sum / float64(count)
	lowAll, highAll := t.formerLoadBounds(meanAll)
	lowAll = (lowAll + formerSlowdownLoad(meanAll)) / 2
	low = min(low, max(lowAll, mean+minBoundGap))
	high = min(high, max(highAll, low+minBoundGap))
	if slots := formerSlotsBesideLimits(targets); slots > 0 {
		low = max(low, freelyUsedSlots*slots)
		high = max(high, mostUsedSlots*slots, low+minBoundGap)
	}
	return low, high
}

func formerSlotsBesideLimits(targets []LocalTarget) float64 {
	slots, unlimited, limited := 0, 0, 0
	for i := range targets {
		switch {
		case targets[i].Availability != Available:
		case targets[i].RateLimited:
			limited++
		case targets[i].Slots > 0:
			slots += targets[i].Slots
			unlimited++
		}
	}
	if limited == 0 || unlimited == 0 {
		return 0
	}
	return float64(slots) / float64(unlimited)
}

func formerSpread(key, random uint64, arrivals, bound float64, targets []LocalTarget) int {
	var order [maxSpreadTargets]rankedCandidate
	count := 0
	for i := range targets {
		target := &targets[i]
		if target.Availability != Available || target.AtCapacity || target.Unhealthy {
			continue
		}
		count = insert(order[:], count, rankedCandidate{target: i, score: Score(key, target.Key)})
	}
	var free [maxSpreadTargets]float64
	total, used := 0.0, 0
	capacity := max(spreadMargin*arrivals, minSpreadCapacity)
	for used < count && total < capacity {
		free[used] = max(bound-targets[order[used].target].InFlight, 0)
		total += free[used]
		used++
	}
	if total == 0 {
		return None
	}
	const resolution = 1 << 20
	at := float64(random%resolution) / resolution * total
	for i := range used {
		if at < free[i] {
			return order[i].target
		}
		at -= free[i]
	}
	return order[used-1].target
}
