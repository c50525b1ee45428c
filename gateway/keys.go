package gateway

import "sync"

// keys holds the claims that this host has opened and not yet settled, so that
// a key is dispatched once here whatever the quorum answers to a second opening.
// A claim whose outcome could not be committed stays: only the end of this
// host's session settles it.
type keys struct {
	mu   sync.Mutex
	held map[ClaimKey]struct{}
}

func newKeys() *keys { return &keys{held: map[ClaimKey]struct{}{}} }

// hold takes a key; it reports false when another request holds it.
func (k *keys) hold(key ClaimKey) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.held[key]; ok {
		return false
	}
	k.held[key] = struct{}{}
	return true
}

// release gives a key back.
func (k *keys) release(key ClaimKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.held, key)
}
