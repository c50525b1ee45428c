package registry

import (
	"slices"
	"time"
)

// claims indexes the claims and limits the size of their stored responses.
type claims struct {
	byKey     map[ClaimKey]*Claim
	maxClaims int
	// openByDispatcher holds the keys of the open claims of each session.
	openByDispatcher map[uint64]map[ClaimKey]bool
	// storedResponses holds the keys of the claims with a stored response body,
	// oldest first.
	storedResponses     []ClaimKey
	storedResponseBytes int
}

func newClaims() claims {
	return claims{
		byKey:            map[ClaimKey]*Claim{},
		maxClaims:        MaxClaims,
		openByDispatcher: map[uint64]map[ClaimKey]bool{},
	}
}

func (c *claims) isFull() bool {
	return len(c.byKey) >= c.maxClaims
}

// put adds a claim, or replaces one that is not open.
func (c *claims) put(claim *Claim) {
	c.byKey[claim.ClaimKey] = claim
	if claim.State != ClaimOpen {
		return
	}
	keys := c.openByDispatcher[claim.Dispatcher]
	if keys == nil {
		keys = map[ClaimKey]bool{}
		c.openByDispatcher[claim.Dispatcher] = keys
	}
	keys[claim.ClaimKey] = true
}

// transition changes the state of a claim to one other than open.
func (c *claims) transition(claim *Claim, to ClaimState, now time.Time) {
	if keys := c.openByDispatcher[claim.Dispatcher]; claim.State == ClaimOpen {
		delete(keys, claim.ClaimKey)
		if len(keys) == 0 {
			delete(c.openByDispatcher, claim.Dispatcher)
		}
	}
	claim.State = to
	claim.Changed = now
}

// markSessionInDoubt changes the open claims of a session to in doubt.
func (c *claims) markSessionInDoubt(session uint64, now time.Time) {
	for key := range c.openByDispatcher[session] {
		claim := c.byKey[key]
		claim.State = ClaimInDoubt
		claim.Changed = now
	}
	delete(c.openByDispatcher, session)
}

// storeResponse stores the response of a claim and drops the oldest bodies
// beyond MaxStoredResponseBytes.
func (c *claims) storeResponse(claim *Claim, response Response, sequence uint64) {
	response = response.bounded()
	claim.Response = response
	claim.FinishedSequence = sequence
	if len(response.Body) == 0 {
		return
	}
	c.storedResponses = append(c.storedResponses, claim.ClaimKey)
	c.storedResponseBytes += len(response.Body)
	for c.storedResponseBytes > MaxStoredResponseBytes {
		c.dropBody(c.byKey[c.storedResponses[0]])
		c.storedResponses = c.storedResponses[1:]
	}
}

func (c *claims) dropBody(claim *Claim) {
	c.storedResponseBytes -= len(claim.Response.Body)
	claim.Response.Body = nil
	claim.Response.Truncated = true
}

// clampChangeTimes sets the change times that are later than now to now.
func (c *claims) clampChangeTimes(now time.Time) {
	for _, claim := range c.byKey {
		if claim.Changed.After(now) {
			claim.Changed = now
		}
	}
}

// expire removes the claims that were resolved before the given time and that
// at least minSweeps earlier calls have found resolved. It returns their number.
func (c *claims) expire(before time.Time, minSweeps uint64) (count uint64) {
	for key, claim := range c.byKey {
		if !claim.isResolved() {
			continue
		}
		claim.SweepCount++
		if claim.Changed.Before(before) && claim.SweepCount > minSweeps {
			c.storedResponseBytes -= len(claim.Response.Body)
			delete(c.byKey, key)
			count++
		}
	}
	c.storedResponses = slices.DeleteFunc(c.storedResponses, func(key ClaimKey) bool { return c.byKey[key] == nil })
	return count
}
