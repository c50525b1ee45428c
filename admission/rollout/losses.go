package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// lossWindow is the time in which lost connections may have a common cause, and
	// maxLosses the number of them that count as failures of the new version.
	lossWindow = time.Second
	maxLosses  = 2
)

// routeLosses counts the lost connections of both sides of a route.
type routeLosses struct{ newSide, others lossMeter }

// lossMeter counts lost connections, at most some in each lossWindow.
//
// Load: a machine is lost with all requests that run on it, which is no fault of the version. A
// version that closes connections does so again and again.
type lossMeter struct {
	last, counted, inWindow uint64
	windowAt                time.Time
}

// count counts the losses up to a total and returns how many of them count.
func (m *lossMeter) count(now time.Time, total, limit uint64) uint64 {
	if now.Sub(m.windowAt) >= lossWindow {
		m.windowAt, m.inWindow = now, 0
	}
	added := min(total-min(m.last, total), limit-min(m.inWindow, limit))
	m.last = max(total, m.last)
	m.inWindow += added
	m.counted += added
	return m.counted
}

// countLosses returns the counts with the lost connections that count as failures.
func (c *Controller) countLosses(now time.Time, counts *ServiceReport) ServiceReport {
	result := counts.Clone()
	newSide, others := counts.totals()
	// The others have more targets to lose.
	limit := uint64(maxLosses * max(1, float64(others.Responses)/float64(max(newSide.Responses, 1))))
	for i := range result.Routes {
		route := &result.Routes[i]
		losses := c.losses[route.Route]
		if losses == nil {
			losses = &routeLosses{}
			c.losses[route.Route] = losses
		}
		route.New.Failures += losses.newSide.count(now, route.New.Lost, maxLosses)
		route.Others.Failures += losses.others.count(now, route.Others.Lost, limit)
	}
	return result
}

// comparison compares the failures on all routes together. Routes may differ in their error
// rates, and the sides in their routes, so that the expected number is the sum over the routes.
type comparison struct {
	newSide, others Side
	expected        float64
}

func (c *comparison) add(newSide, others *Side) {
	c.newSide.add(newSide)
	c.others.add(others)
	if total := newSide.Responses + others.Responses; others.Responses > 0 {
		c.expected += float64(newSide.Responses) * float64(newSide.Failures+others.Failures) / float64(total)
	} else {
		c.expected += float64(newSide.Failures)
	}
}

// fault returns why the new version is bad; "" if it is not.
func (c *comparison) fault(limits *thresholds) string {
	bad := c.newSide.Failures
	if bad < limits.minBad || float64(bad) < failureFactor*c.expected+minFailureRate*float64(c.newSide.Responses) {
		return ""
	}
	if poissonTail(bad, c.expected) >= limits.maxChance {
		return ""
	}
	return fmt.Sprintf("%d of %d responses of all routes failed, where %.1f were expected", bad, c.newSide.Responses, c.expected)
}

// poissonTail returns the probability of at least count events where mean are expected.
func poissonTail(count uint64, mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	x := float64(count)
	if x <= mean {
		return 1
	}
	factorial, _ := math.Lgamma(x + 1)
	term := math.Exp(x*math.Log(mean) - mean - factorial)
	sum := term
	for range 1000 {
		x++
		term *= mean / x
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return min(sum, 1)
}
