package route

// None stands for no target.
const None = -1

// Candidate is what a decision sees of one target.
type Candidate struct {
	// Key is a hash of the target's name.
	Key uint64
	// InFlight is the number of requests in flight on it.
	InFlight int32
	// Limit is the largest number in flight that it may have by itself.
	Limit int32
	// Availability is why it takes no new work at all; Open if it does.
	Availability Reason
	// Warming is set while its warm-up makes the limit.
	Warming bool
}

// Admits reports whether the candidate takes new work in principle.
func (c *Candidate) Admits() bool {
	return c.Availability == Open
}

// CheckCapacity returns why the candidate can't take one more request, or Open.
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

// Load sums up the candidates that a mean is taken over.
type Load struct {
	InFlight int
	Targets  int
}

// LoadFactor is the load factor c in millionths, so that bounds are exact.
type LoadFactor int64

const factorUnit = 1_000_000

// LoadFactorOf returns the factor nearest to c.
func LoadFactorOf(c float64) LoadFactor {
	return LoadFactor(c*factorUnit + 0.5)
}

// Bound returns ceil(c × mean), the largest number in flight on one target,
// where the mean counts one more request than the load holds.
func (f LoadFactor) Bound(load Load) int {
	if load.Targets == 0 {
		return 0
	}
	whole := int64(load.Targets) * factorUnit
	return int((int64(f)*int64(load.InFlight+1) + whole - 1) / whole)
}

// AdmittingLoad sums up the candidates that take new work.
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

// LoadBelowLimit sums up the candidates that take new work and are below their own
// limits.
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
