package peer

import (
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

// Message is one of the types below.
type Message interface{ message() }

// Ping asks for a Pong; both keep a connection's silence apart from its loss.
type Ping struct{}

// Pong answers a Ping.
type Pong struct{}

// Failure answers a call that the peer could not execute.
type Failure struct{ Message string }

// Acquire asks the owner of a service for a permit.
type Acquire struct {
	Request admission.Request
	// Fence is the owner's fencing number as the asking host knows it.
	Fence uint64
}

// Permit answers an Acquire. What the question said is not sent: RequestID,
// Host, Service, Workspace and Chat arrive empty.
type Permit struct{ Permit admission.Permit }

// Refusal answers an Acquire.
type Refusal struct{ Refusal admission.Refusal }

// Releases gives permits of one service back, without their targets.
type Releases struct {
	Service  string
	Releases []admission.Release
}

// Taken answers messages that only need to be known as received.
type Taken struct{}

// Adopt tells a new owner which permits a host holds for the service.
type Adopt struct {
	Host    string
	Session uint64
	Service string
	Fence   uint64
	Permits []admission.Permit
}

// TargetNews passes on what a target sent; exactly one field is set.
type TargetNews struct {
	Service      string
	Announcement *target.Announcement
	Load         *target.LoadReport
	Cache        *target.CacheEvent
	Leave        *target.Leave
}

// TargetKnown answers TargetNews.
type TargetKnown struct{ Known bool }

// CopyPart carries part of an owner's memory to the host that may follow it.
type CopyPart struct {
	Service string
	Fence   uint64
	Data    []byte
}

// Quorum carries encoded messages between state replicas.
type Quorum struct{ Messages []byte }

// Propose asks a state replica to commit a command.
type Propose struct{ Command []byte }

// Code tells how a state replica took a call.
type Code string

// The codes.
const (
	CodeDone       Code = "Done"
	CodeNotLeader  Code = "NotLeader"
	CodeUnknown    Code = "Unknown"
	CodeNoSession  Code = "NoSession"
	CodeNotReplica Code = "NotReplica"
)

// Proposed answers a Propose.
type Proposed struct {
	Code   Code
	Result []byte
	// Leader is the leader's peer address, where known.
	Leader string
}

// Renew renews a session's lease and asks for news.
type Renew struct {
	Session      uint64
	Revision     uint64
	FleetVersion uint64
	// Wait is how long the answer may wait for news.
	Wait time.Duration
	// IdleServices are the services owned by the host that cannot serve now.
	IdleServices []string
}

// Renewed answers a Renew.
type Renewed struct {
	Code   Code
	Leader string
	// Delta is an encoded registry.Delta; empty for no news.
	Delta []byte
	// IdleServices are the services that cannot serve now, in the whole fleet.
	IdleServices []string
}

// StatusAsk asks an owner for the status of a service, or, without one, the
// state leader for that of placement.
type StatusAsk struct{ Service string }

// StatusTold answers StatusAsk with an encoded status.
type StatusTold struct{ Status []byte }

// VersionsAsk asks a host what it has applied.
type VersionsAsk struct{}

// VersionsTold answers VersionsAsk.
type VersionsTold struct {
	Revision      uint64
	FleetVersion  uint64
	OutageVersion uint64
}

// IdentityAsk asks a host for its state replica's identity.
type IdentityAsk struct{}

// IdentityTold answers IdentityAsk; ID is empty for a host without a replica.
type IdentityTold struct {
	ID   string
	Host string
	// Cluster is the cluster's identity; empty for a replica that waits to be
	// added.
	Cluster string
}

// Digest tells the state leader of the targets that a host knows.
type Digest struct {
	Host     string
	Session  uint64
	Targets  []DigestTarget
	Services []DigestService
}

// DigestTarget is the state of one target at the owner of its service.
type DigestTarget struct {
	Announcement target.Announcement
	// Ready says that the target takes work, Cold that it is not warmed up, and
	// Leaving that it takes no new work for good.
	Ready    bool
	Cold     bool
	Leaving  bool
	InFlight int
	// Chats is the number of chats that are warm on the target.
	Chats int
}

// DigestService is the load of one service at its owner.
type DigestService struct {
	Name     string
	Queued   int
	InFlight int
}

// Roster passes on what a state replica has heard of targets itself.
type Roster struct {
	Host    string
	Entries []roster.Entry
	// Watchers are the hosts that watch this replica.
	Watchers []string
	// Loads are the requests of these hosts, by target; nil for no word on them.
	Loads map[string]int
}

// Watch asks a state replica for what is newer than the asking host's view.
type Watch struct {
	Host         string
	Revision     uint64
	FleetVersion uint64
	// Source and Roster name the table of targets that the host has: the
	// process that sent it and its version.
	Source uint64
	Roster uint64
	// Wait is how long the answer may wait for news.
	Wait time.Duration
	// Loads are the host's own requests, by target.
	Loads map[string]int
}

// Watched answers a Watch.
type Watched struct {
	// Current is set while a majority has confirmed the replica's state recently.
	Current bool
	// Delta is an encoded registry.Delta; empty for no news.
	Delta   []byte
	Source  uint64
	Roster  uint64
	Entries []roster.Entry
	// Hosts is the number of hosts that watch any replica; 0 for unknown.
	Hosts int
	// Replicas are the peer addresses of the state replicas.
	Replicas []string
	// Loads are the requests of all hosts, by target, where these are far from
	// MeanLoad, which stands for the others.
	Loads    map[string]int
	MeanLoad float64
}

// Join asks the state leader to add a replica to the cluster, or to put it in
// the place of its host's former one.
type Join struct {
	ID      string
	Host    string
	Address string
	// Passed is set once a replica that does not lead has passed it on.
	Passed bool
}

func (Roster) message()       {}
func (Watch) message()        {}
func (Watched) message()      {}
func (Join) message()         {}
func (Ping) message()         {}
func (Pong) message()         {}
func (Failure) message()      {}
func (Acquire) message()      {}
func (Permit) message()       {}
func (Refusal) message()      {}
func (Releases) message()     {}
func (Taken) message()        {}
func (Adopt) message()        {}
func (TargetNews) message()   {}
func (TargetKnown) message()  {}
func (CopyPart) message()     {}
func (Quorum) message()       {}
func (Propose) message()      {}
func (Proposed) message()     {}
func (Renew) message()        {}
func (Renewed) message()      {}
func (StatusAsk) message()    {}
func (StatusTold) message()   {}
func (VersionsAsk) message()  {}
func (VersionsTold) message() {}
func (IdentityAsk) message()  {}
func (IdentityTold) message() {}
func (Digest) message()       {}
