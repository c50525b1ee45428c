package gateway

import "sync"

// openClaims holds the keys of the claims that this host has opened and not yet
// resolved, so that this host dispatches a key only once even if the quorum
// returns ClaimOpen a second time. A claim whose outcome could not be committed
// remains here: it becomes in doubt only when the session of this host ends.
type openClaims struct {
	mu          sync.Mutex
	pendingKeys map[ClaimKey]struct{}
}

func newOpenClaims() *openClaims { return &openClaims{pendingKeys: map[ClaimKey]struct{}{}} }

// tryAdd adds a key. It returns false if another request holds the key.
func (c *openClaims) tryAdd(key ClaimKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.pendingKeys[key]; ok {
		return false
	}
	c.pendingKeys[key] = struct{}{}
	return true
}

// remove removes a key.
func (c *openClaims) remove(key ClaimKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingKeys, key)
}
