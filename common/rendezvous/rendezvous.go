// Package rendezvous ranks names for a key by highest random weight hashing.
//
// All processes with the same set of names compute the same order without
// communication. Removing a name reassigns only the keys that ranked it first.
//
// # Usage
//
//	order := rendezvous.Rank("chat-17", []string{"a", "b", "c"})
//	best := order[0]
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of name for key. A zero byte separates the two, so that
// distinct pairs of strings without zero bytes never hash the same input.
func Score(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// Rank returns a copy of names in descending order of score. Equal scores are
// ordered by name.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	scores := make(map[string]uint64, len(names))
	for _, name := range names {
		scores[name] = Score(key, name)
	}
	slices.SortFunc(ranked, func(a, b string) int {
		return compare(scores[a], scores[b], a, b)
	})
	return ranked
}

// First returns the name with the highest score, or "" if names is empty.
func First(key string, names []string) string {
	var best string
	var bestScore uint64
	for _, name := range names {
		score := Score(key, name)
		if best == "" || compare(score, bestScore, name, best) < 0 {
			best, bestScore = name, score
		}
	}
	return best
}

// compare orders by descending score and then by ascending name.
func compare(scoreA, scoreB uint64, a, b string) int {
	switch {
	case scoreA > scoreB:
		return -1
	case scoreA < scoreB:
		return 1
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
