package host

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/admission"
)

const (
	// cacheMoves is the largest number of caches that one host moves at once.
	cacheMoves = 4
	// cacheMoveTime is the longest time that a request waits for its chat's
	// cache; it is well below the validity of a permit.
	cacheMoveTime = 400 * time.Millisecond
)

// cacheMover brings a chat's KV cache to the target that a permit names, where
// another target still holds it: after a failure domain was taken out, say. A
// move that fails or takes long costs only its time.
type cacheMover struct {
	host  *Host
	slots chan struct{}
}

func newCacheMover(h *Host) *cacheMover {
	return &cacheMover{host: h, slots: make(chan struct{}, cacheMoves)}
}

// move returns whether the cache has arrived.
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
	ctx, cancel := clockwork.WithTimeout(ctx, m.host.Clock, cacheMoveTime)
	defer cancel()
	scope := m.host.Scope.SubScope("cache")
	cache, err := m.host.sender.ExportCache(ctx, permit.CacheFrom, permit.Chat)
	if err == nil {
		err = m.host.sender.ImportCache(ctx, permit.Address, permit.Chat, cache)
	}
	if err != nil {
		scope.Counter("moves_failed").Inc(1)
		m.host.entry.log.Debugf("Cache of chat %q is not moved to %s: %v.", permit.Chat, permit.Target, err)
		return false
	}
	scope.Counter("moves").Inc(1)
	scope.Counter("moved_bytes").Inc(int64(len(cache)))
	m.host.entry.log.Infof("Cache of chat %q is moved to %s.", permit.Chat, permit.Target)
	return true
}
