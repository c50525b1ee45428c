package placement

import (
	"time"

	"comfreytiller.dev/fleet"
)

// loadLimiter limits the model loads of the whole fleet. It bounds the number of
// concurrent loads and tracks a backlog: the bytes of started loads that the
// weight store cannot have delivered yet at its configured rate.
type loadLimiter struct {
	fleet.Store
	sizes     map[string]int64
	backlog   float64
	updatedAt time.Time
}

func (l *loadLimiter) configure(now time.Time, limits fleet.Store) {
	l.updateBacklog(now)
	l.Store = limits
}

// reset clears the backlog. Adopted orders reserve their loads again.
func (l *loadLimiter) reset(now time.Time) {
	l.backlog = 0
	l.updatedAt = now
}

// updateBacklog reduces the backlog by what the store has delivered since the
// last update.
func (l *loadLimiter) updateBacklog(now time.Time) {
	if l.updatedAt.Before(now) {
		l.backlog = max(0, l.backlog-now.Sub(l.updatedAt).Seconds()*float64(l.BytesPerSecond))
		l.updatedAt = now
	}
}

// reserve adds a load to the backlog.
func (l *loadLimiter) reserve(now time.Time, size int64) {
	l.updateBacklog(now)
	l.backlog += float64(size)
}

// refund removes a load that was never sent from the backlog.
func (l *loadLimiter) refund(now time.Time, size int64) {
	l.updateBacklog(now)
	l.backlog = max(0, l.backlog-float64(size))
}

// waitReason returns why another load of the given size cannot start while running
// loads are in progress, or "" if it can. The rate limit holds on average: loads
// run ahead of it by at most the number of concurrent loads.
func (l *loadLimiter) waitReason(now time.Time, running int, size int64) string {
	l.updateBacklog(now)
	if l.ConcurrentLoads > 0 && running >= l.ConcurrentLoads {
		return "the weight store runs as many loads as it may"
	}
	ahead := float64(max(1, l.ConcurrentLoads)-1) * float64(size)
	if l.BytesPerSecond > 0 && l.backlog > ahead {
		return "the weight store's rate is used up"
	}
	return ""
}

// maxLoadTime returns how long a load may take while the maximum number of
// concurrent loads share the store's rate. It returns 0 if the rate is unlimited.
func (l *loadLimiter) maxLoadTime(size int64) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(size) * float64(max(1, l.ConcurrentLoads)) / float64(l.BytesPerSecond)
	return time.Duration(seconds * float64(time.Second))
}

// recordSize stores the size that a target reported for a build. It also serves as
// the estimate for other versions of the model.
func (l *loadLimiter) recordSize(model, version string, size int64) {
	l.sizes[sizeKey(model, version)] = size
	l.sizes[sizeKey(model, "")] = size
}

// sizeOf returns the known or estimated size in bytes of a build's weights.
func (p *Planner) sizeOf(b build) int64 {
	if size := p.loads.sizes[sizeKey(b.model, b.version)]; size > 0 {
		return size
	}
	if size := p.loads.sizes[sizeKey(b.model, "")]; size > 0 {
		return size
	}
	return p.modelBytes
}

// runningLoads counts the loads that may be reading from the weight store.
func (p *Planner) runningLoads(now time.Time) int {
	running := 0
	for _, o := range p.orders {
		if o.holdsSlot(now) {
			running++
		}
	}
	return running
}
