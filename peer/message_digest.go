package peer

import "comfreytiller.dev/target"

// Digest reports to the state leader the targets that a host knows and the
// services that it owns.
type Digest struct {
	Host     string
	Session  uint64
	Targets  []DigestTarget
	Services []DigestService
}

// DigestTarget is the state of one target at the owner of its service.
type DigestTarget struct {
	Announcement target.Announcement
	// Ready is set if the target is healthy, even while it is out of service, Cold
	// if it has not warmed up, and Leaving if it is leaving.
	Ready    bool
	Cold     bool
	Leaving  bool
	InFlight int
	// WarmChats is the number of chats whose context is in the target's prefix
	// cache.
	WarmChats int
}

// DigestService is the load of one service at its owner.
type DigestService struct {
	Name     string
	Queued   int
	InFlight int
}
