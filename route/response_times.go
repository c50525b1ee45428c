package route

import (
	"math"
	"time"
)

const (
	// shortMemory is the half-life of the response times that tell a phase of some hundred
	// milliseconds, longMemory of those that tell a lasting difference.
	shortMemory = 150 * time.Millisecond
	longMemory  = time.Minute
	// batchPeriod is the time over which response times are averaged for a lasting
	// difference. Those of requests that share a queue are not independent, and loads
	// change with each digest.
	batchPeriod = 600 * time.Millisecond
	// minBatches is the number of batches from which their spread is known.
	minBatches = 20
	// batchWindow is the number of batches of a service that are kept.
	batchWindow = 4
	// deviations is the number of standard errors within which response times do not
	// differ, for a lasting difference and for one of this moment. With 4.5 for the latter,
	// 16 of 45,000 estimates of equal targets differed in the replay.
	deviations      = 4.5
	shortDeviations = 6
	// usualReach is the number of standard deviations of the usual differences between
	// batches within which a difference of this moment is usual.
	usualReach = 2
	// medianDeviation is the median of the absolute value of a normally distributed number
	// of standard deviation 1. The median hardly counts the phases of a few slow targets.
	medianDeviation = 0.674
	// medianStep is how far the estimate of a median moves with one value, as the
	// logarithm of a factor.
	medianStep = 0.05
	// minUsual is the least usual difference between batches, so that the median can rise
	// again from response times that are all the same.
	minUsual = 0.005
	// minLasting is the least weight of batches that tell a lasting difference, minShort
	// of response times that tell one of this moment.
	minLasting = 5
	minShort   = 1.5
	// meanWeight is the weight of a response time in the mean around which the next ones
	// are clipped.
	meanWeight = 0.05
	// minSamples is the number of response times of a service from which their spread is
	// known.
	minSamples = 30
	// clipDeviations and clipFactor bound how much a single response time counts, as
	// standard deviations and as a factor, of which the larger one applies. A stalled
	// connection takes a hundred times as long.
	clipDeviations = 3
	clipFactor     = 4
)

// The factors by which response times may differ without a difference in speed. Requests to
// engines have prompts of very different sizes, of which different parts are cached, and
// each prompt goes to the same few engines.
const (
	PlainDifference = 1.05
	ModelDifference = 2.0
)

// timeSums are sums over the logarithms of response times, which decay exponentially.
type timeSums struct {
	// weight is the sum of the weights, sum that of the weighted values and squares that
	// of the squared weights, which gives the standard error of the mean.
	weight, sum, squares float64
	at                   time.Time
}

// decayed returns the sums at a time.
func (s timeSums) decayed(now time.Time, halfLife time.Duration) timeSums {
	factor := math.Exp2(-max(float64(now.Sub(s.at)), 0) / float64(halfLife))
	return timeSums{weight: s.weight * factor, sum: s.sum * factor, squares: s.squares * factor * factor, at: now}
}

func (s *timeSums) add(now time.Time, value float64, halfLife time.Duration) {
	*s = s.decayed(now, halfLife)
	s.weight++
	s.sum += value
	s.squares++
}

// without returns the sums less those of a part, both at the same time.
func (s timeSums) without(part timeSums) timeSums {
	return timeSums{weight: s.weight - part.weight, sum: s.sum - part.sum, squares: s.squares - part.squares, at: s.at}
}

// timeBatch is the sum of the logarithms of the response times of one batchPeriod.
type timeBatch struct {
	index      int64
	sum, count float64
}

func (b *timeBatch) add(index int64, value float64) {
	if b.index != index {
		*b = timeBatch{index: index}
	}
	b.sum += value
	b.count++
}

// TargetTimes are the response times of one target. The zero value has none.
type TargetTimes struct {
	short timeSums
	batch timeBatch
	// lasting sums the differences of the batches from those of the other targets.
	lasting timeSums
	mean    float64
	isKnown bool
}

// ServiceTimes are the response times of all targets of a service, as one host measures
// them. The zero value has none.
type ServiceTimes struct {
	short   timeSums
	batches [batchWindow]timeBatch
	// spread sums the squared deviations of single response times from the mean of their
	// target, of which there have been samples.
	spread  timeSums
	samples int
	// usual is the median of the absolute differences of batches between targets, less the
	// lasting ones, and differences the number of them.
	usual       float64
	differences int
	// lastingSpread sums the squares of these differences.
	lastingSpread timeSums
}

// unseenQuantile is the number of standard deviations of the requests of other hosts up to
// which there may be more of them than estimated.
const unseenQuantile = 3

// WorkTime returns the part of a response time that is work: less the part for which the
// request waits in the queue of its target. own and others are the requests of this host,
// this one included, and the estimated ones of other hosts that share the slots. isCertain
// is not set if others that this host can't see may have queued before the request.
func WorkTime(response time.Duration, own, others float64, slots int) (work time.Duration, isCertain bool) {
	isCertain = others <= 0 || slots > 0 && own+others+unseenQuantile*math.Sqrt(others) <= float64(slots)
	if inFlight := own + others; slots > 0 && inFlight > float64(slots) {
		response = time.Duration(float64(response) * float64(slots) / inFlight)
	}
	return response, isCertain
}

// Observe records the work time of a response of a target. told is the slowdown that the
// target reports; 0 for none. What is measured is then what the report leaves unexplained.
// A time that is not certain counts only for a lasting difference: queues come and go.
func (s *ServiceTimes) Observe(now time.Time, t *TargetTimes, work time.Duration, isCertain bool, told float64) {
	if work <= 0 {
		return
	}
	value := math.Log(float64(work))
	if told > 0 {
		value -= math.Log(ClampSlowdown(told))
	}
	if t.isKnown {
		limit := math.Log(clipFactor)
		if deviation, isKnown := s.deviation(); isKnown {
			limit = max(limit, clipDeviations*deviation)
		}
		value = min(max(value, t.mean-limit), t.mean+limit)
		s.spread.add(now, (value-t.mean)*(value-t.mean), longMemory)
		s.samples++
		t.mean += (value - t.mean) * meanWeight
	} else {
		t.mean, t.isKnown = value, true
	}
	index := now.UnixNano() / int64(batchPeriod)
	if t.batch.index != index {
		s.endBatch(now, t)
	}
	t.batch.add(index, value)
	s.batches[index%batchWindow].add(index, value)
	if isCertain {
		t.short.add(now, value, shortMemory)
		s.short.add(now, value, shortMemory)
	}
}

// endBatch records the difference of the last batch of a target from the other targets.
func (s *ServiceTimes) endBatch(now time.Time, t *TargetTimes) {
	all := s.batches[t.batch.index%batchWindow]
	if all.index != t.batch.index || t.batch.count == 0 || all.count <= t.batch.count {
		return
	}
	difference := t.batch.sum/t.batch.count - (all.sum-t.batch.sum)/(all.count-t.batch.count)
	if t.lasting.weight > 0 {
		distance := math.Abs(difference - t.lasting.sum/t.lasting.weight)
		switch {
		case s.differences == 0:
			s.usual = distance
		case distance > s.usual:
			s.usual *= math.Exp(medianStep)
		default:
			s.usual *= math.Exp(-medianStep)
		}
		s.usual = max(s.usual, minUsual)
		s.lastingSpread.add(now, distance*distance, longMemory)
		s.differences++
	}
	t.lasting.add(now, difference, longMemory)
}

// deviation returns the standard deviation of the logarithms of the response times of one
// target.
func (s *ServiceTimes) deviation() (deviation float64, isKnown bool) {
	if s.samples < minSamples || s.spread.weight < 1 {
		return 0, false
	}
	return math.Sqrt(s.spread.sum / s.spread.weight), true
}

// Slowdown returns how long work takes on a target against the others, as a multiple; 1 if
// response times do not tell a difference of more than the given factor.
//
// It is designed for plain services that report no load, of which a seventh of the targets
// take 2.5 times as long for some hundred milliseconds, or those of one failure domain 1.3
// times as long all the time. A difference counts only in so far as it exceeds what is
// usual between the targets, so that choices between equal targets do not change, and that
// the estimate does not jump. Queues that this host can't see differ between equal targets,
// and count as usual. A target that gets no requests for its slowness has an ever larger
// error, and is tried again.
func (s *ServiceTimes) Slowdown(now time.Time, t *TargetTimes, difference float64) float64 {
	deviation, isKnown := s.deviation()
	if !isKnown || s.differences < minBatches {
		return 1
	}
	margin, usual, value := math.Log(difference), s.usual/medianDeviation, 0.0
	if lasting := t.lasting.decayed(now, longMemory); lasting.weight >= minLasting {
		mean, spread := lasting.sum/lasting.weight, math.Sqrt(s.lastingSpread.sum/s.lastingSpread.weight)
		value = clampAround(value, mean, deviations*spread*math.Sqrt(lasting.squares)/lasting.weight+margin)
	}
	short, others := t.short.decayed(now, shortMemory), s.short.decayed(now, shortMemory)
	others = others.without(short)
	if short.weight >= minShort && others.weight >= minShort {
		mean := short.sum/short.weight - others.sum/others.weight
		variance := short.squares/(short.weight*short.weight) + max(others.squares, 0)/(others.weight*others.weight)
		value = clampAround(value, mean, max(usualReach*usual, shortDeviations*deviation*math.Sqrt(variance))+margin)
	}
	if value == 0 {
		return 1
	}
	return ClampSlowdown(math.Exp(value))
}

// clampAround returns the value that is closest to the given one within reach of a mean.
func clampAround(value, mean, reach float64) float64 {
	return min(max(value, mean-reach), mean+reach)
}
