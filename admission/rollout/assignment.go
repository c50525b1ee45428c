package rollout

import (
	"math"

	"comfreytiller.dev/route"
)

// maxTokens is the maximum number of tokens: a host that could use none for a while must not
// send many requests at once.
const maxTokens = 2

// Assignment decides on an entry host which requests of a service go to the new version. Each
// request adds its share of a token, and each one that goes to the new version takes a token.
// A token may be taken from a part of it on that is drawn anew each time: hosts with a request
// each would otherwise send none of them to the new version, or all, and of requests that come
// in a fixed order always the same ones would go there.
//
// Load: a few prompts make up most requests. Which of them belong to the new version is the same
// on all hosts, but a popular one must not exceed the share. If there are few prompts, a larger
// part of them belongs to the version than the share, so that it gets enough requests.
//
// It is not safe for concurrent use.
type Assignment struct {
	number uint64
	tokens float64
	// needed is the part of a token from which on it may be taken.
	needed float64
}

// Reset prepares for another rollout. random is a random number.
func (a *Assignment) Reset(number, random uint64) {
	*a = Assignment{number: number, needed: fraction(random)}
}

// Number returns the number of the rollout; 0 before the first.
func (a *Assignment) Number() uint64 { return a.number }

// Prefers reports whether a request should go to the new version. promptKey identifies its
// shared prompt; 0 for none. promptShare is the share of the prompts that belong to the version.
func (a *Assignment) Prefers(share, promptShare float64, promptKey uint64) bool {
	switch {
	case share >= 1:
		return true
	case share <= 0 || a.tokens+share < a.needed:
		return false
	}
	return promptKey == 0 || BelongsToNew(a.number, promptShare, promptKey)
}

// fraction returns a number from 0 to 1.
func fraction(random uint64) float64 { return float64(random>>11) / (1 << 53) }

// BelongsToNew reports whether the requests with a shared prompt go to the new version at a
// share. With a larger share, those of the prompts of a smaller one do, too.
func BelongsToNew(number uint64, share float64, promptKey uint64) bool {
	return share >= 1 || float64(route.Score(promptKey, number)) < share*math.MaxUint64
}

// Record records that a request is sent, and whether to the new version. random is a random
// number.
func (a *Assignment) Record(share float64, isNew bool, random uint64) {
	a.tokens = min(a.tokens+min(share, 1), maxTokens)
	if isNew {
		a.tokens, a.needed = max(a.tokens-1, -maxTokens), fraction(random)
	}
}

// CanarySize returns how many of the new targets take requests at a share, so that each of
// them has about the load of one of the others.
func CanarySize(share float64, newTargets, others int) int {
	if share >= 1 || others == 0 {
		return newTargets
	}
	size := int(math.Round(share * float64(others) / (1 - share)))
	return min(max(size, 1), newTargets)
}
