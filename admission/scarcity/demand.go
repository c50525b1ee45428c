package scarcity

import (
	"math"
	"time"
)

const (
	// demandPeriod is the time over which the requests of a class are averaged. It is
	// shorter than a burst of a workspace, and long enough for a host with one request a
	// second to see several of the most frequent classes.
	demandPeriod = 4 * time.Second
	// maxClasses limits the classes that are counted for a service. Requests of further
	// ones count together by rank.
	maxClasses = 256
	// minKeptRate is the rate, in requests per second, below which a class is forgotten
	// when there are too many.
	minKeptRate = 0.01
)

// Demand is what a class asks for, in requests per second.
type Demand struct {
	Class
	// Weight is the weight of the workspace in fair sharing.
	Weight float64
	// Once and Repeatable are the rates of requests that may run only once and of others.
	Once       float64
	Repeatable float64
}

// Rate returns the rate of all requests of the class.
func (d *Demand) Rate() float64 { return d.Once + d.Repeatable }

// classRate is the moving average of the requests of a class.
type classRate struct {
	demand Demand
	at     time.Time
}

// decay brings the rates up to now.
func (c *classRate) decay(now time.Time) {
	if age := now.Sub(c.at); age > 0 {
		factor := math.Exp(-float64(age) / float64(demandPeriod))
		c.demand.Once *= factor
		c.demand.Repeatable *= factor
		c.at = now
	}
}

// demandTable counts the requests of a host to a service by class.
type demandTable struct {
	classes map[Class]*classRate
	weigh   func(workspace string) float64
	// all is the rate of all requests.
	all classRate
}

func newDemandTable(weigh func(workspace string) float64) *demandTable {
	return &demandTable{classes: map[Class]*classRate{}, weigh: weigh}
}

// add counts a request and returns the demand of its class.
func (t *demandTable) add(now time.Time, class Class, once bool) *Demand {
	c := t.classFor(now, class)
	c.decay(now)
	t.all.decay(now)
	const weight = float64(time.Second) / float64(demandPeriod)
	t.all.demand.Once += weight
	if once {
		c.demand.Once += weight
	} else {
		c.demand.Repeatable += weight
	}
	return &c.demand
}

// classFor returns the counts of a class.
func (t *demandTable) classFor(now time.Time, class Class) *classRate {
	if c := t.classes[class]; c != nil {
		return c
	}
	if len(t.classes) >= maxClasses {
		t.forget(now)
	}
	weight := 1.0
	if len(t.classes) >= maxClasses {
		class = Class{Priority: class.Priority}
		if c := t.classes[class]; c != nil {
			return c
		}
		if len(t.classes) >= 2*maxClasses {
			return &classRate{demand: Demand{Class: class, Weight: weight}, at: now}
		}
	} else if t.weigh != nil {
		weight = max(t.weigh(class.Workspace), minWeight)
	}
	c := &classRate{demand: Demand{Class: class, Weight: weight}, at: now}
	t.classes[class] = c
	return c
}

// minWeight is the minimum weight of a workspace.
const minWeight = 0.001

// forget removes the classes that have had no requests lately.
func (t *demandTable) forget(now time.Time) {
	for class, c := range t.classes {
		c.decay(now)
		if c.demand.Rate() < minKeptRate {
			delete(t.classes, class)
		}
	}
}

// appendDemands appends the present demands to a list.
func (t *demandTable) appendDemands(to []Demand, now time.Time) []Demand {
	for _, c := range t.classes {
		c.decay(now)
		if c.demand.Rate() >= minKeptRate {
			to = append(to, c.demand)
		}
	}
	return to
}

// perSecond returns the rate of all requests.
func (t *demandTable) perSecond(now time.Time) float64 {
	t.all.decay(now)
	return t.all.demand.Once
}
