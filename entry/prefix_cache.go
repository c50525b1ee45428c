package entry

import (
	"math"
	"time"

	"comfreytiller.dev/admission"
)

const (
	// cachedPartTTL is how long a prompt part is expected to stay in a target's
	// prefix cache after its last use.
	cachedPartTTL = 20 * time.Second
	// promptRateWindow is the time over which the rate of requests for a prompt
	// is averaged.
	promptRateWindow = 3 * time.Second
	// maxCachedParts is the maximum number of entries in each map of the index.
	maxCachedParts = 20_000
)

// prefixCacheIndex estimates the prefix caches of the targets from the prompts
// that this host sent to them. It is not safe for concurrent use.
type prefixCacheIndex struct {
	// lastSent is when each part was last sent to a target, by partKey.
	lastSent map[uint64]time.Time
	// requests holds the recent requests for each prompt, by its key.
	requests map[uint64]promptRequests
}

// promptRequests is the number of requests for a prompt, reduced exponentially over
// promptRateWindow, at the time of the last one.
type promptRequests struct {
	count  float64
	lastAt time.Time
}

func newPrefixCacheIndex() *prefixCacheIndex {
	return &prefixCacheIndex{lastSent: map[uint64]time.Time{}, requests: map[uint64]promptRequests{}}
}

// recordRequest records a request for a prompt and returns the rate per second of
// this host's requests for it before this one. With many hosts it is 0 unless the
// prompt has many requests.
func (p *prefixCacheIndex) recordRequest(now time.Time, key uint64) (rate float64) {
	last := p.requests[key]
	earlier := last.count * math.Exp(-float64(now.Sub(last.lastAt))/float64(promptRateWindow))
	if len(p.requests) >= maxCachedParts {
		clear(p.requests)
	}
	p.requests[key] = promptRequests{count: earlier + 1, lastAt: now}
	return earlier / promptRateWindow.Seconds()
}

// partKey returns the key of a prompt part on a target.
func partKey(target, part uint64) uint64 { return target*0x9e3779b97f4a7c15 ^ part }

// cachedTokens returns how many tokens of a prompt a target is expected to have
// in its prefix cache: the tokens of all parts before the first one that is not
// cached.
func (p *prefixCacheIndex) cachedTokens(now time.Time, target uint64, parts []admission.PromptPart) int {
	cached := 0
	for _, part := range parts {
		at, sent := p.lastSent[partKey(target, part.Key)]
		if !sent || now.Sub(at) > cachedPartTTL {
			break
		}
		cached += part.Tokens
	}
	return cached
}

// recordSent records that a prompt is sent to a target.
func (p *prefixCacheIndex) recordSent(now time.Time, target uint64, parts []admission.PromptPart) {
	if len(p.lastSent)+len(parts) > maxCachedParts {
		for key, at := range p.lastSent {
			if now.Sub(at) > cachedPartTTL/4 {
				delete(p.lastSent, key)
			}
		}
	}
	for _, part := range parts {
		p.lastSent[partKey(target, part.Key)] = now
	}
}
