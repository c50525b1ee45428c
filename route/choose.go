package route

import "slices"

// MaxChoices is the largest value of Query.Choices.
const MaxChoices = 4

// mostRefused bounds the refused candidates that a choice lists.
const mostRefused = 4

// Query is what a decision knows of one request.
type Query struct {
	// Chat is the chat's key; 0 for none.
	Chat uint64
	// WarmTargets lists the places where the chat's context is believed warm, the
	// preferred one first; None for no place.
	WarmTargets [2]int
	// Excluded lists the candidates that the request has tried.
	Excluded []int
	// Bound is the largest number in flight on one target, this request
	// included.
	Bound int
	// Choices is the number of candidates in rendezvous order among which the
	// least loaded is taken, from 1 to MaxChoices.
	Choices int
}

// Skipped is a candidate that was passed over.
type SkippedCandidate struct {
	Target int
	Reason Reason
}

// Choice is the outcome of a decision.
type Choice struct {
	// Target is the chosen candidate, or None.
	Target int
	// WarmTargets is set when it is one of the query's known places.
	Warm bool
	// Skipped holds the first SkippedCount candidates that were preferred and
	// passed over.
	Skipped      [mostRefused]SkippedCandidate
	SkippedCount int
}

func (c *Choice) refuse(target int, reason Reason) {
	if c.SkippedCount < mostRefused {
		c.Skipped[c.SkippedCount] = SkippedCandidate{target, reason}
		c.SkippedCount++
	}
}

// Choose picks the target for one request. It allocates nothing.
func Choose(query *Query, candidates []Candidate) Choice {
	choice := Choice{Target: None}
	for _, known := range query.WarmTargets {
		if known == None {
			continue
		}
		reason := query.refuses(known, &candidates[known])
		if reason == Open {
			choice.Target = known
			choice.Warm = true
			return choice
		}
		choice.refuse(known, reason)
	}
	if query.Chat == 0 {
		chooseLeastLoaded(query, candidates, &choice)
		return choice
	}
	chooseHashed(query, candidates, &choice)
	return choice
}

func (q *Query) refuses(index int, candidate *Candidate) Reason {
	if slices.Contains(q.Excluded, index) {
		return Excluded
	}
	return candidate.CheckCapacity(q.Bound)
}

func (q *Query) knows(index int) bool {
	return q.WarmTargets[0] == index || q.WarmTargets[1] == index
}

func chooseLeastLoaded(query *Query, candidates []Candidate, choice *Choice) {
	for i := range candidates {
		reason := query.refuses(i, &candidates[i])
		if reason != Open {
			choice.refuse(i, reason)
			continue
		}
		if choice.Target == None || candidates[i].InFlight < candidates[choice.Target].InFlight {
			choice.Target = i
		}
	}
}

// ranked is a candidate with its rendezvous score.
type ranked struct {
	target int
	score  uint64
	reason Reason
}

// insert puts item into the list of the highest scores, highest first.
func insert(list []ranked, count int, item ranked) int {
	at := count
	for at > 0 && list[at-1].score < item.score {
		at--
	}
	if at == len(list) {
		return count
	}
	if count < len(list) {
		count++
	}
	copy(list[at+1:count], list[at:count-1])
	list[at] = item
	return count
}

func chooseHashed(query *Query, candidates []Candidate, choice *Choice) {
	var open [MaxChoices]ranked
	var refused [mostRefused]ranked
	var opens, refusals int
	first := min(max(query.Choices, 1), MaxChoices)
	for i := range candidates {
		item := ranked{i, Score(query.Chat, candidates[i].Key), query.refuses(i, &candidates[i])}
		if item.reason == Open {
			opens = insert(open[:first], opens, item)
		} else if !query.knows(i) {
			refusals = insert(refused[:], refusals, item)
		}
	}
	var least ranked
	choice.Target = None
	for _, item := range open[:opens] {
		if choice.Target == None || candidates[item.target].InFlight < candidates[choice.Target].InFlight {
			choice.Target = item.target
			least = item
		}
	}
	for _, item := range refused[:refusals] {
		if choice.Target == None || item.score > least.score {
			choice.refuse(item.target, item.reason)
		}
	}
}

// Score returns the rendezvous weight of a target for a chat, both given by
// their hashes. The finishing steps are those of SplitMix64.
func Score(chat, target uint64) uint64 {
	x := chat ^ target
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
