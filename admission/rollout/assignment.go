package rollout

import (
	"math"

	"comfreytiller.dev/route"
)

const (
	// freeTokens is the number of tokens from which on a request of any prompt may go to the
	// new version: too few prompts belong to it.
	freeTokens = 3
	// resolution is the resolution of a random number.
	resolution = 1 << 20
)

// Assignment decides on an entry host which requests of a service go to the new version. Each
// request adds its share of a token, and each one that goes to the new version takes a token.
//
// Load: a few prompts make up most requests. Which of them belong to the new version is the same
// on all hosts, but a popular one must not exceed the share.
//
// The zero value is ready for use. It is not safe for concurrent use.
type Assignment struct {
	number uint64
	tokens float64
}

// Reset prepares for another rollout. phase is a number from 0 to 1 that is drawn at random
// for each host: hosts with one request each would never send any to the new version, or all
// of them would, if they all began with the same part of a token.
func (a *Assignment) Reset(number uint64, phase float64) {
	a.number, a.tokens = number, phase
}

// Number returns the number of the rollout; 0 before the first.
func (a *Assignment) Number() uint64 { return a.number }

// Prefers reports whether a request should go to the new version. promptKey identifies its
// shared prompt; 0 for none. random is a random number.
func (a *Assignment) Prefers(share float64, promptKey, random uint64) bool {
	switch {
	case share >= 1:
		return true
	case share <= 0 || a.tokens < 1:
		return false
	case a.tokens >= freeTokens:
		return true
	case promptKey != 0:
		return BelongsToNew(a.number, share, promptKey)
	}
	// Not each request that finds a token takes it, since requests may come in a fixed order.
	return float64(random%resolution)/resolution < (1+share)/2
}

// BelongsToNew reports whether the requests with a shared prompt go to the new version at a
// share. With a larger share, those of the prompts of a smaller one do, too.
func BelongsToNew(number uint64, share float64, promptKey uint64) bool {
	return float64(route.Score(promptKey, number)) < share*math.MaxUint64
}

// Record records that a request is sent, and whether to the new version.
func (a *Assignment) Record(share float64, isNew bool) {
	a.tokens = min(a.tokens+min(share, 1), freeTokens+1)
	if isNew {
		a.tokens = max(a.tokens-1, -freeTokens)
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
