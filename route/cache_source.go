package route

// minCopiedTokens is the least number of tokens for which a source is named that is not the
// home of the prompt. Fewer are prefilled in some milliseconds.
const minCopiedTokens = 512

// FindCacheSource returns the target from which the chosen one can get the part of a prompt
// of the given number of tokens that it has not cached, or None.
//
// It is designed for shared parts that would be prefilled again although a target holds
// them. The home of a prompt has no source in the choice, since it is expected to hold the
// prompt. It does not hold it if it joined a short time ago, if it has lost its requests and
// others serve the prompt meanwhile, or if the prompt is new and has only its first part in
// common with others. So the source is a target that is known to hold more of the prompt
// than the chosen one, and that of the choice otherwise. A home that has joined lately gets
// the prompt from the target that would be its home without it.
func FindCacheSource(key uint64, tokens int, choice LocalChoice, targets []LocalTarget) int {
	if choice.Target == None || targets[choice.Target].CachedTokens >= tokens {
		return None
	}
	source, held := choice.CacheSource, targets[choice.Target].CachedTokens+minCopiedTokens-1
	switch {
	case source == None:
	case targets[source].CachedTokens >= tokens:
		return source
	default:
		// The home is expected to hold the whole prompt, which only a target that is known
		// to hold it outweighs.
		held = max(held, tokens-1)
	}
	former := topTarget{at: None}
	for i := range targets {
		target := &targets[i]
		// The cache of another version may not fit.
		if i == choice.Target || target.Unhealthy || target.Availability == Gone || target.Availability == OtherVersion {
			continue
		}
		if target.CachedTokens > held {
			source, held = i, target.CachedTokens
		}
		if !target.JoinedLately {
			former.offer(i, Score(key, target.Key))
		}
	}
	if source == None && choice.Home && targets[choice.Target].JoinedLately {
		return former.at
	}
	return source
}
