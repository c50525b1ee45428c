package entry

import (
	"slices"
	"sync"
	"time"
)

const (
	// minPathProbeInterval and maxPathProbeInterval limit the interval between two attempts to
	// connect directly to a target that is cut off. It doubles with each failure.
	minPathProbeInterval = 500 * time.Millisecond
	maxPathProbeInterval = 2 * time.Second
	// relapsePeriod is how long after a direct path was restored its next failure counts as one
	// more of the same cut.
	relapsePeriod = 10 * time.Second
	// cutOffAfter is how long a host must have been cut off from a target before it counts for the
	// readiness. A target that has crashed and started again is reached directly by then.
	cutOffAfter = time.Second
)

// targetPaths decides for each target, by its address, whether this host connects to it directly or
// through a relay.
//
// Load: a host is cut off from some targets, from all of a service or from all, while other hosts
// reach them. New connections are refused, reset right after they were accepted, or hang; old
// ones may live on. Targets that have crashed look alike to this host, but to the relays as well.
type targetPaths struct {
	mu        sync.Mutex
	byAddress map[string]*targetPath
}

// targetPath is a direct path that has failed.
type targetPath struct {
	// cutAt is when the path failed first; zero once it is restored.
	cutAt time.Time
	// isRelayed is set once a relay has reached the target since.
	isRelayed     bool
	probeAt       time.Time
	probeInterval time.Duration
	restoredAt    time.Time
}

func newTargetPaths() *targetPaths { return &targetPaths{byAddress: map[string]*targetPath{}} }

// isCut reports whether the target should be reached through a relay.
func (p *targetPaths) isCut(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.byAddress[address]
	return path != nil && !path.cutAt.IsZero()
}

// recordFailure records that a direct connection could not be opened, or ended before its first
// response began. It reports whether the path was good until then.
func (p *targetPaths) recordFailure(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.byAddress[address]
	switch {
	case path == nil:
		path = &targetPath{probeInterval: minPathProbeInterval}
		p.byAddress[address] = path
	case !path.cutAt.IsZero():
		return false
	case now.Sub(path.restoredAt) < relapsePeriod:
		path.probeInterval = min(2*path.probeInterval, maxPathProbeInterval)
	default:
		path.probeInterval = minPathProbeInterval
	}
	path.cutAt, path.isRelayed, path.probeAt = now, false, now
	return true
}

// recordRelayed records that a relay has reached the target.
func (p *targetPaths) recordRelayed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path := p.byAddress[address]; path != nil {
		path.isRelayed = true
	}
}

// recordDown records that no relay reaches the target either: it is down, and this host not cut off
// from it.
func (p *targetPaths) recordDown(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byAddress, address)
}

// recordProbe records the result of an attempt to connect directly. It reports whether it has
// restored the path.
func (p *targetPaths) recordProbe(now time.Time, address string, succeeded bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.byAddress[address]
	if path == nil || path.cutAt.IsZero() {
		return false
	}
	if !succeeded {
		path.probeInterval = min(2*path.probeInterval, maxPathProbeInterval)
		return false
	}
	path.cutAt, path.isRelayed, path.restoredAt = time.Time{}, false, now
	return true
}

// takeDueProbes returns the addresses whose direct path should be tried now, and schedules their
// next attempts.
func (p *targetPaths) takeDueProbes(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for address, path := range p.byAddress {
		switch {
		case path.cutAt.IsZero():
			if now.Sub(path.restoredAt) >= relapsePeriod {
				delete(p.byAddress, address)
			}
		case !now.Before(path.probeAt):
			path.probeAt = now.Add(path.probeInterval)
			due = append(due, address)
		}
	}
	slices.Sort(due)
	return due
}

// forget forgets the paths to all addresses but the given ones.
func (p *targetPaths) forget(isKnown func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.byAddress {
		if !isKnown(address) {
			delete(p.byAddress, address)
		}
	}
}

// isEmpty reports whether no path has failed lately.
func (p *targetPaths) isEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byAddress) == 0
}

// isCutOffFrom reports whether this host is cut off from all of the addresses, though a relay has
// reached one of them at least. It returns false if there are none.
func (p *targetPaths) isCutOffFrom(now time.Time, addresses []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isRelayed := false
	for _, address := range addresses {
		path := p.byAddress[address]
		if path == nil || path.cutAt.IsZero() || now.Sub(path.cutAt) < cutOffAfter {
			return false
		}
		isRelayed = isRelayed || path.isRelayed
	}
	return isRelayed
}
