package entry

import (
	"comfreytiller.dev/admission"
	"comfreytiller.dev/route"
)

// cacheKey returns the key of the target's prefix cache, given that of its name. An
// incarnation begins without a cache.
func (s *targetState) cacheKey(name uint64) uint64 {
	return name ^ s.Incarnation*0x9e3779b97f4a7c15
}

// findCacheSource returns the address of a target from which the chosen one can get the
// part of the prompt that it has not cached; "" for none. The caller must hold t.mu.
func (t *targetSelector) findCacheSource(request *admission.Request, key uint64, tokens int, choice route.LocalChoice, list []*targetState, candidates []route.LocalTarget) string {
	if request.Prompt == nil {
		return ""
	}
	source := route.FindCacheSource(key, tokens, choice, candidates)
	if source == route.None {
		return ""
	}
	if source != choice.CacheSource {
		t.otherCacheSources.Inc(1)
	}
	return list[source].Address
}
