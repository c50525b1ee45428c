package route

// None is the index that stands for no target.
const None = -1

// Candidate is the state of one target as used in a decision.
type Candidate struct {
	// Key is a hash of the target's name.
	Key uint64
	// InFlight is the number of requests in flight on the target.
	InFlight int32
	// Limit is the target's own limit on InFlight.
	Limit int32
	// Availability is why the target takes no new requests; Open if it does.
	Availability Reason
	// Warming is set while the warm-up determines Limit.
	Warming bool
}

// Admits reports whether the candidate takes new requests at all, regardless of its
// load.
func (c *Candidate) Admits() bool {
	return c.Availability == Open
}

// CheckCapacity returns why the candidate cannot take one more request under the load
// bound, or Open if it can.
func (c *Candidate) CheckCapacity(bound int) Reason {
	switch {
	case c.Availability != Open:
		return c.Availability
	case c.InFlight >= c.Limit && c.Warming:
		return Warming
	case c.InFlight >= c.Limit:
		return AtLimit
	case int(c.InFlight) >= bound:
		return AtBound
	}
	return Open
}

// Load is the total load of the candidates over which a mean is taken.
type Load struct {
	InFlight int
	Targets  int
}

// LoadFactor is the load factor c in millionths, so that bounds are exact.
type LoadFactor int64

const factorUnit = 1_000_000

// LoadFactorOf returns the LoadFactor nearest to c.
func LoadFactorOf(c float64) LoadFactor {
	return LoadFactor(c*factorUnit + 0.5)
}

// Bound returns ceil(c × mean), the largest number in flight on one target. The mean
// includes one request more than load.
func (f LoadFactor) Bound(load Load) int {
	if load.Targets == 0 {
		return 0
	}
	whole := int64(load.Targets) * factorUnit
	return int((int64(f)*int64(load.InFlight+1) + whole - 1) / whole)
}

// AdmittingLoad returns the total load of the candidates that take new requests.
func AdmittingLoad(candidates []Candidate) Load {
	var load Load
	for i := range candidates {
		if candidates[i].Admits() {
			load.InFlight += int(candidates[i].InFlight)
			load.Targets++
		}
	}
	return load
}

// LoadBelowLimit returns the total load of the candidates that take new requests and
// are below their own limits.
func LoadBelowLimit(candidates []Candidate) Load {
	var load Load
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Admits() && candidate.InFlight < candidate.Limit {
			load.InFlight += int(candidate.InFlight)
			load.Targets++
		}
	}
	return load
}
