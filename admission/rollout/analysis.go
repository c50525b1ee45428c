package rollout

import (
	"fmt"
	"math"
)

// A difference between the new version and the others counts only if it is unlikely to be
// chance and large enough to matter.
const (
	// maxChance is the probability below which a difference is no chance. Each rollout makes
	// some thousands of comparisons, most of them of nearly the same counts.
	maxChance = 1e-5
	// minBad is the minimum number of bad responses for a verdict.
	minBad = 5
	// The rate of failures of a bad version is more than failureFactor times that of the
	// others plus minFailureRate.
	failureFactor  = 1.25
	minFailureRate = 0.005
	// The rate of slow responses of a bad version is more than slowFactor times that of the
	// others plus minSlowRate. A response is slow if it takes slowSteps steps of the histogram
	// longer than the time with which it is compared.
	slowFactor  = 1.5
	minSlowRate = 0.05
	slowSteps   = 1
)

// thresholds are what a verdict needs.
type thresholds struct {
	maxChance   float64
	minBad      uint64
	slowSteps   int
	minSlowRate float64
}

var (
	judging = thresholds{maxChance, minBad, slowSteps, minSlowRate}
	// moving applies once all requests go to the new version. There are no responses of the
	// others at the same time, and the caches of most new targets are cold.
	moving = thresholds{1e-7, 10, 4, 0.25}
)

// compareFailures returns why the new version is bad, "" if it is not: its failures are more
// than chance can explain.
func compareFailures(newSide, others *Side, limits *thresholds) string {
	bad, total := newSide.Failures, newSide.Responses
	if !exceeds(bad, total, others.Failures, others.Responses, failureFactor, minFailureRate, limits) {
		return ""
	}
	return fmt.Sprintf("%d of %d responses failed, %d of %d of the other versions", bad, total, others.Failures, others.Responses)
}

// compareTimes returns why the new version is bad, "" if it is not: more of its responses are
// slower than the others' by a factor than chance can explain.
func compareTimes(newSide, others *Side, limits *thresholds) string {
	total, totalOthers := newSide.FirstByte.total(), others.FirstByte.total()
	if total < limits.minBad || totalOthers == 0 {
		return ""
	}
	slow, slowOthers := newSide.FirstByte.above(limits.slowSteps), others.FirstByte.above(0)
	for bucket := range buckets - limits.slowSteps - 1 {
		if slow < limits.minBad {
			return ""
		}
		if exceeds(slow, total, slowOthers, totalOthers, slowFactor, limits.minSlowRate, limits) {
			return fmt.Sprintf("%d of %d responses took longer than %s, %d of %d of the other versions longer than %s",
				slow, total, boundary(bucket+limits.slowSteps), slowOthers, totalOthers, boundary(bucket))
		}
		slow -= newSide.FirstByte[bucket+limits.slowSteps+1]
		slowOthers -= others.FirstByte[bucket+1]
	}
	return ""
}

// exceeds reports whether bad of total is more than badOthers of totalOthers, beyond chance.
func exceeds(bad, total, badOthers, totalOthers uint64, factor, margin float64, limits *thresholds) bool {
	if bad < limits.minBad || total == 0 || totalOthers == 0 {
		return false
	}
	if rate := float64(badOthers) / float64(totalOthers); float64(bad)/float64(total) < factor*rate+margin {
		return false
	}
	return chanceOf(bad, total, badOthers, totalOthers) < limits.maxChance
}

// chanceOf returns the probability that at least bad of all bad ones are among total, if both
// sides have the same rate (Fisher's exact test).
func chanceOf(bad, total, badOthers, totalOthers uint64) float64 {
	k, n1, n := float64(bad+badOthers), float64(total), float64(total+totalOthers)
	x := float64(bad)
	if x <= k*n1/n {
		return 1
	}
	term := math.Exp(logChoose(k, x) + logChoose(n-k, n1-x) - logChoose(n, n1))
	sum := term
	for ; x < min(k, n1); x++ {
		term *= (k - x) * (n1 - x) / ((x + 1) * (n - k - n1 + x + 1))
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return min(sum, 1)
}

// logChoose returns the logarithm of n over k.
func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}

// total returns the number of times.
func (h *Histogram) total() uint64 { return h.above(-1) }
