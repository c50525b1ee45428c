package gateway

import "sync"

// openClaims holds the keys of the claims that this host has opened and not yet
// settled, so that this host dispatches a key only once even if the quorum
// returns ClaimOpen a second time. A claim whose outcome could not be committed
// remains here: it is settled only when the session of this host ends.
type openClaims struct {
	mu          sync.Mutex
	pendingKeys map[ClaimKey]struct{}
}

func newOpenClaims() *openClaims { return &openClaims{pendingKeys: map[ClaimKey]struct{}{}} }

// tryAdd adds a key and reports whether no other request was using it.
func (k *openClaims) tryAdd(key ClaimKey) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.pendingKeys[key]; ok {
		return false
	}
	k.pendingKeys[key] = struct{}{}
	return true
}

// remove removes a key.
func (k *openClaims) remove(key ClaimKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pendingKeys, key)
}
