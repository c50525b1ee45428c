package host

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/admission"
)

const (
	// maxConcurrentCacheTransfers is the maximum number of cache transfers that
	// a host runs at once.
	maxConcurrentCacheTransfers = 4
	// cacheTransferTimeout is the maximum time that a request waits for the
	// transfer of its chat's cache. It is well below the validity of a permit.
	cacheTransferTimeout = 400 * time.Millisecond
)

// cacheTransferer transfers a chat's KV cache to the target named in a permit
// when another target still holds it, for example after a failure domain was
// taken out of service. A failed or slow transfer only delays the request.
type cacheTransferer struct {
	host  *Host
	slots chan struct{}
}

func newCacheTransferer(h *Host) *cacheTransferer {
	return &cacheTransferer{host: h, slots: make(chan struct{}, maxConcurrentCacheTransfers)}
}

// transfer reports whether the cache was transferred. It returns false at once
// if no transfer is needed or maxConcurrentCacheTransfers are in progress.
func (t *cacheTransferer) transfer(ctx context.Context, permit admission.Permit) bool {
	if permit.CacheSource == "" || permit.Chat == "" {
		return false
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	default:
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, t.host.Clock, cacheTransferTimeout)
	defer cancel()
	scope := t.host.Scope.SubScope("cache")
	cache, err := t.host.sender.ExportCache(ctx, permit.CacheSource, permit.Chat)
	if err == nil {
		err = t.host.sender.ImportCache(ctx, permit.Address, permit.Chat, cache)
	}
	if err != nil {
		scope.Counter("moves_failed").Inc(1)
		t.host.permitClient.log.Debugf("Cannot transfer the cache of chat %q to target %s: %v.", permit.Chat, permit.Target, err)
		return false
	}
	scope.Counter("moves").Inc(1)
	scope.Counter("moved_bytes").Inc(int64(len(cache)))
	t.host.permitClient.log.Infof("The cache of chat %q was transferred to target %s.", permit.Chat, permit.Target)
	return true
}
