package hub

import "time"

const (
	// durableCopiesTimeout limits the wait for the disks beyond the majority.
	durableCopiesTimeout = 400 * time.Millisecond
	// voterSilentAfter is how long a voter must be silent before no acknowledgement waits for
	// it: three of the messages that hubs send each refreshInterval.
	voterSilentAfter = 3 * refreshInterval
)

// operatorVersions are the versions of what operators change.
type operatorVersions struct {
	Fleet, Outage, Rollout uint64
}

// holds reports whether a disk with these versions has a change, or a later one.
func (v operatorVersions) holds(change operatorVersions) bool {
	return v.Fleet >= change.Fleet && v.Outage >= change.Outage && v.Rollout >= change.Rollout
}

// latest returns the higher ones of two versions.
func (v operatorVersions) latest(other operatorVersions) operatorVersions {
	return operatorVersions{Fleet: max(v.Fleet, other.Fleet), Outage: max(v.Outage, other.Outage), Rollout: max(v.Rollout, other.Rollout)}
}

// voterReport is what is known of a voter.
type voterReport struct {
	// ID is the ID of its replica.
	ID   string
	Host string
	// Durable are the versions that the voter has on its disk.
	Durable operatorVersions
	// HeardAt is when the voter was last heard of.
	HeardAt time.Time
	// Missed are the versions that the voter didn't have within durableCopiesTimeout.
	Missed operatorVersions
}

// isSilent reports whether the voter has not been heard of for voterSilentAfter.
func (v *voterReport) isSilent(now time.Time) bool { return now.Sub(v.HeardAt) >= voterSilentAfter }

// isBehind reports whether the voter still lacks a change that it didn't have in time, as one
// whose disk is full or hangs.
func (v *voterReport) isBehind() bool { return !v.Durable.holds(v.Missed) }

// noteMissed notes that the voter didn't have a change in time.
func (v *voterReport) noteMissed(change operatorVersions) { v.Missed = v.Missed.latest(change) }

// durableCopies tells on which disks a change is.
type durableCopies struct {
	// Count is the number of voters that have the change on their disks.
	Count int
	// Missing are the other voters.
	Missing []voterReport
	// IsComplete is set unless a voter may still get the change in time.
	IsComplete bool
}

// countCopies counts the disks that have a change which was committed by begun. The
// acknowledgement waits until the count is complete.
//
// Load: a change is committed by three of five voters. Up to two of these disks are lost, and a
// third one before the first two are replaced; the others must have the change then. Some voters
// are down or cut off, have a slow disk, or one that is full or hangs for seconds, and come back.
func countCopies(now, begun time.Time, change operatorVersions, voters []voterReport) durableCopies {
	copies := durableCopies{IsComplete: true}
	for _, voter := range voters {
		if voter.Durable.holds(change) {
			copies.Count++
			continue
		}
		copies.Missing = append(copies.Missing, voter)
		if !voter.isSilent(now) && !voter.isBehind() && now.Sub(begun) < durableCopiesTimeout {
			copies.IsComplete = false
		}
	}
	return copies
}
