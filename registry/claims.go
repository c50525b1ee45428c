package registry

import (
	"slices"
	"time"
)

// claims holds the claims and bounds the answers stored with them.
type claims struct {
	byKey map[ClaimKey]*Claim
	// limit is the largest number of claims.
	limit int
	// open holds the keys of each dispatcher's open claims.
	open map[uint64]map[ClaimKey]bool
	// stored holds the keys of the answers with a body, oldest first.
	stored      []ClaimKey
	storedBytes int
}

func newClaims() claims {
	return claims{
		byKey: map[ClaimKey]*Claim{},
		limit: MaxClaims,
		open:  map[uint64]map[ClaimKey]bool{},
	}
}

func (c *claims) full() bool {
	return len(c.byKey) >= c.limit
}

// put stores a claim that is not there, or replaces one that is not open.
func (c *claims) put(claim *Claim) {
	c.byKey[claim.ClaimKey] = claim
	if claim.State != ClaimOpen {
		return
	}
	keys := c.open[claim.Dispatcher]
	if keys == nil {
		keys = map[ClaimKey]bool{}
		c.open[claim.Dispatcher] = keys
	}
	keys[claim.ClaimKey] = true
}

// move gives a claim another state than open.
func (c *claims) move(claim *Claim, to ClaimState, now time.Time) {
	if keys := c.open[claim.Dispatcher]; claim.State == ClaimOpen {
		delete(keys, claim.ClaimKey)
		if len(keys) == 0 {
			delete(c.open, claim.Dispatcher)
		}
	}
	claim.State = to
	claim.Changed = now
}

// doubtAll moves the open claims of a session to in doubt.
func (c *claims) doubtAll(session uint64, now time.Time) {
	for key := range c.open[session] {
		claim := c.byKey[key]
		claim.State = ClaimInDoubt
		claim.Changed = now
	}
	delete(c.open, session)
}

// store keeps an answer within the bounds.
func (c *claims) store(claim *Claim, answer Response, number uint64) {
	answer = answer.bounded()
	claim.Response = answer
	claim.FinishedSequence = number
	if len(answer.Body) == 0 {
		return
	}
	c.stored = append(c.stored, claim.ClaimKey)
	c.storedBytes += len(answer.Body)
	for c.storedBytes > MaxStoredResponseBytes {
		c.dropBody(c.byKey[c.stored[0]])
		c.stored = c.stored[1:]
	}
}

func (c *claims) dropBody(claim *Claim) {
	c.storedBytes -= len(claim.Response.Body)
	claim.Response.Body = nil
	claim.Response.Truncated = true
}

// changedBy moves the times of claims that are later than now back to it.
func (c *claims) changedBy(now time.Time) {
	for _, claim := range c.byKey {
		if claim.Changed.After(now) {
			claim.Changed = now
		}
	}
}

// expire removes the claims that ended before the time and that enough earlier
// calls have found ended.
func (c *claims) expire(before time.Time, sweeps uint64) (count uint64) {
	for key, claim := range c.byKey {
		if !claim.ended() {
			continue
		}
		claim.SweepCount++
		if claim.Changed.Before(before) && claim.SweepCount > sweeps {
			c.storedBytes -= len(claim.Response.Body)
			delete(c.byKey, key)
			count++
		}
	}
	c.stored = slices.DeleteFunc(c.stored, func(key ClaimKey) bool { return c.byKey[key] == nil })
	return count
}
