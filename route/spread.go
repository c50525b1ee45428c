package route

const (
	// maxSpreadTargets is the maximum number of targets over which one prompt spreads.
	maxSpreadTargets = 64
	// usualSpreadTargets is the number of targets that is tried first. Ranking more costs
	// several times the rest of a decision, and few prompts need them.
	usualSpreadTargets = 8
	// minSpreadCapacity is the least total free capacity to spread over. With more, each
	// request that leaves its home costs a cache transfer to another target; with less,
	// a few requests that arrive together fill it.
	minSpreadCapacity = 6
	// spreadMargin is the free capacity to spread over, as a multiple of the requests
	// that are expected before hosts receive reports of each other's requests.
	spreadMargin = 2
)

// spread chooses one of the first targets in rendezvous order for a key, with a
// probability proportional to its free capacity, the distance of its load to bound. It
// uses as many targets as together have room for the requests with this prompt that are
// expected to arrive within the age of the reports, and returns None if no target has
// any.
//
// It is designed for a prompt that gets tens of requests per second on a hundred hosts,
// each of which receives only a few. If all hosts chose the next target in order, or
// the least loaded one, they would overload that target until the next load report.
func spread(key, random uint64, arrivals, bound float64, targets []LocalTarget, uneven unevenness) int {
	capacity := max(spreadMargin*arrivals, minSpreadCapacity)
	var usual [usualSpreadTargets]rankedCandidate
	count := rankForSpread(key, usual[:], targets)
	if at, enough := spreadOver(usual[:count], random, capacity, bound, targets, uneven); enough || count < usualSpreadTargets {
		return at
	}
	var all [maxSpreadTargets]rankedCandidate
	count = rankForSpread(key, all[:], targets)
	at, _ := spreadOver(all[:count], random, capacity, bound, targets, uneven)
	return at
}

// rankForSpread fills order with the first targets in rendezvous order that may take
// requests, and returns their number.
func rankForSpread(key uint64, order []rankedCandidate, targets []LocalTarget) int {
	count := 0
	for i := range targets {
		target := &targets[i]
		if target.Availability != Available || target.AtCapacity || target.Unhealthy {
			continue
		}
		score := Score(key, target.Key)
		if count == len(order) && score <= order[count-1].score {
			continue
		}
		count = insert(order, count, rankedCandidate{target: i, score: score})
	}
	return count
}

// spreadOver chooses one of the first of the given targets that together have the given
// free capacity. enough is set if they have.
func spreadOver(order []rankedCandidate, random uint64, capacity, bound float64, targets []LocalTarget, uneven unevenness) (target int, enough bool) {
	var free [maxSpreadTargets]float64
	total, used := 0.0, 0
	for used < len(order) && total < capacity {
		free[used] = max(bound-uneven.load(&targets[order[used].target]), 0)
		total += free[used]
		used++
	}
	enough = total >= capacity
	if total == 0 {
		return None, enough
	}
	const resolution = 1 << 20
	at := float64(random%resolution) / resolution * total
	for i := range used {
		if at < free[i] {
			return order[i].target, enough
		}
		at -= free[i]
	}
	return order[used-1].target, enough
}
