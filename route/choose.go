package route

import "slices"

// MaxChoices is the largest value of Query.Choices.
const MaxChoices = 4

// maxSkipped bounds the skipped candidates that a choice lists.
const maxSkipped = 4

// Query describes one request.
type Query struct {
	// Chat is the chat's key; 0 for none.
	Chat uint64
	// WarmTargets are the targets where the chat's context is expected to be warm, the
	// preferred one first; None for no target.
	WarmTargets [2]int
	// Excluded lists the candidates that the request has already tried.
	Excluded []int
	// Bound is the largest number in flight on one target, this request included.
	Bound int
	// Choices is the number of candidates in rendezvous order of which the least
	// loaded is taken, from 1 to MaxChoices.
	Choices int
}

// SkippedCandidate is a candidate that was not chosen, with the reason.
type SkippedCandidate struct {
	Target int
	Reason Reason
}

// Choice is the result of a decision.
type Choice struct {
	// Target is the chosen candidate, or None.
	Target int
	// Warm is set if Target is one of the query's WarmTargets.
	Warm bool
	// Skipped holds, in its first SkippedCount entries, preferred candidates that were
	// not chosen.
	Skipped      [maxSkipped]SkippedCandidate
	SkippedCount int
}

func (c *Choice) skip(target int, reason Reason) {
	if c.SkippedCount < maxSkipped {
		c.Skipped[c.SkippedCount] = SkippedCandidate{target, reason}
		c.SkippedCount++
	}
}

// Choose chooses the target for one request. It does not allocate.
func Choose(query *Query, candidates []Candidate) Choice {
	choice := Choice{Target: None}
	for _, warm := range query.WarmTargets {
		if warm == None {
			continue
		}
		reason := query.checkCapacity(warm, &candidates[warm])
		if reason == Open {
			choice.Target = warm
			choice.Warm = true
			return choice
		}
		choice.skip(warm, reason)
	}
	if query.Chat == 0 {
		chooseLeastLoaded(query, candidates, &choice)
		return choice
	}
	chooseHashed(query, candidates, &choice)
	return choice
}

func (q *Query) checkCapacity(index int, candidate *Candidate) Reason {
	if slices.Contains(q.Excluded, index) {
		return Excluded
	}
	return candidate.CheckCapacity(q.Bound)
}

func (q *Query) isWarmTarget(index int) bool {
	return q.WarmTargets[0] == index || q.WarmTargets[1] == index
}

func chooseLeastLoaded(query *Query, candidates []Candidate, choice *Choice) {
	for i := range candidates {
		reason := query.checkCapacity(i, &candidates[i])
		if reason != Open {
			choice.skip(i, reason)
			continue
		}
		if choice.Target == None || candidates[i].InFlight < candidates[choice.Target].InFlight {
			choice.Target = i
		}
	}
}

// rankedCandidate is a candidate with its rendezvous score.
type rankedCandidate struct {
	target int
	score  uint64
	reason Reason
}

// insert adds item to a list of the highest scores in descending order, and returns
// the new length.
func insert(list []rankedCandidate, count int, item rankedCandidate) int {
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
	var open [MaxChoices]rankedCandidate
	var skipped [maxSkipped]rankedCandidate
	var openCount, skippedCount int
	choices := min(max(query.Choices, 1), MaxChoices)
	for i := range candidates {
		item := rankedCandidate{i, Score(query.Chat, candidates[i].Key), query.checkCapacity(i, &candidates[i])}
		if item.reason == Open {
			openCount = insert(open[:choices], openCount, item)
		} else if !query.isWarmTarget(i) {
			skippedCount = insert(skipped[:], skippedCount, item)
		}
	}
	var chosen rankedCandidate
	choice.Target = None
	for _, item := range open[:openCount] {
		if choice.Target == None || candidates[item.target].InFlight < candidates[choice.Target].InFlight {
			choice.Target = item.target
			chosen = item
		}
	}
	for _, item := range skipped[:skippedCount] {
		if choice.Target == None || item.score > chosen.score {
			choice.skip(item.target, item.reason)
		}
	}
}

// Score returns the rendezvous score of a target for a chat, both given by their
// hashes. It uses the finalizer of SplitMix64.
func Score(chat, target uint64) uint64 {
	x := chat ^ target
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
