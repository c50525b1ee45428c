package host

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/admission"
)

const (
	// maxConcurrentCacheMoves is the maximum number of cache transfers that a
	// host runs at once.
	maxConcurrentCacheMoves = 4
	// cacheMoveTimeout is the maximum time that a request waits for the
	// transfer of its chat's cache. It is well below the validity of a permit.
	cacheMoveTimeout = 400 * time.Millisecond
)

// cacheMover transfers a chat's KV cache to the target named in a permit when
// another target still holds it, for example after a failure domain was taken
// out of service. A failed or slow transfer only delays the request.
type cacheMover struct {
	host  *Host
	slots chan struct{}
}

func newCacheMover(h *Host) *cacheMover {
	return &cacheMover{host: h, slots: make(chan struct{}, maxConcurrentCacheMoves)}
}

// move reports whether the cache was transferred.
func (m *cacheMover) move(ctx context.Context, permit admission.Permit) bool {
	if permit.CacheFrom == "" || permit.Chat == "" {
		return false
	}
	select {
	case m.slots <- struct{}{}:
		defer func() { <-m.slots }()
	default:
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, m.host.Clock, cacheMoveTimeout)
	defer cancel()
	scope := m.host.Scope.SubScope("cache")
	cache, err := m.host.sender.ExportCache(ctx, permit.CacheFrom, permit.Chat)
	if err == nil {
		err = m.host.sender.ImportCache(ctx, permit.Address, permit.Chat, cache)
	}
	if err != nil {
		scope.Counter("moves_failed").Inc(1)
		m.host.permitClient.log.Debugf("Cannot move the cache of chat %q to target %s: %v.", permit.Chat, permit.Target, err)
		return false
	}
	scope.Counter("moves").Inc(1)
	scope.Counter("moved_bytes").Inc(int64(len(cache)))
	m.host.permitClient.log.Infof("The cache of chat %q was moved to target %s.", permit.Chat, permit.Target)
	return true
}
