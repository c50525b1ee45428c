package entry

import (
	"time"

	"comfreytiller.dev/admission"
)

const (
	// cachedPartTTL is how long a prompt part is expected to stay in a target's
	// prefix cache after its last use.
	cachedPartTTL = 20 * time.Second
	// hotPromptWindow is the maximum time between two requests for a prompt
	// that counts as hot.
	hotPromptWindow = 3 * time.Second
	// maxCachedParts bounds the number of entries in each map of the index.
	maxCachedParts = 20_000
)

// prefixCacheIndex estimates the prefix caches of the targets from the prompts
// that this host sent to them. It is not safe for concurrent use.
type prefixCacheIndex struct {
	// lastSent is when each part was last sent to a target, by partKey.
	lastSent map[uint64]time.Time
	// lastRequested is when each prompt was last requested, by its key.
	lastRequested map[uint64]time.Time
}

func newPrefixCacheIndex() *prefixCacheIndex {
	return &prefixCacheIndex{lastSent: map[uint64]time.Time{}, lastRequested: map[uint64]time.Time{}}
}

// recordRequest records a request for a prompt and reports whether the prompt
// is hot, that is whether this host received another request for it within
// hotPromptWindow. With many hosts this holds only for a prompt with many
// requests.
func (p *prefixCacheIndex) recordRequest(now time.Time, key uint64) bool {
	last, known := p.lastRequested[key]
	if len(p.lastRequested) >= maxCachedParts {
		clear(p.lastRequested)
	}
	p.lastRequested[key] = now
	return known && now.Sub(last) < hotPromptWindow
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
