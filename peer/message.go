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

// AcquireRequest asks the owner of a service for a permit.
type AcquireRequest struct {
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

// Ack answers messages that only need to be known as received.
type Ack struct{}

// AdoptPermits tells a new owner which permits a host holds for the service.
type AdoptPermits struct {
	Host    string
	Session uint64
	Service string
	Fence   uint64
	Permits []admission.Permit
}

// TargetUpdate passes on what a target sent; exactly one field is set.
type TargetUpdate struct {
	Service      string
	Announcement *target.Announcement
	Load         *target.LoadReport
	Cache        *target.CacheEvent
	Leave        *target.Leave
}

// TargetUpdateAck answers TargetUpdate.
type TargetUpdateAck struct{ Known bool }

// ServiceStateChunk carries part of an owner's memory to the host that may follow it.
type ServiceStateChunk struct {
	Service string
	Fence   uint64
	Data    []byte
}

// QuorumMessages carries encoded messages between state replicas.
type QuorumMessages struct{ Messages []byte }

// ProposeRequest asks a state replica to commit a command.
type ProposeRequest struct{ Command []byte }

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

// ProposeResponse answers a Propose.
type ProposeResponse struct {
	Code   Code
	Result []byte
	// Leader is the leader's peer address, where known.
	Leader string
}

// RenewRequest renews a session's lease and asks for news.
type RenewRequest struct {
	Session      uint64
	Revision     uint64
	FleetVersion uint64
	// MaxWait is how long the answer may wait for news.
	MaxWait time.Duration
	// IdleServices are the services owned by the host that cannot serve now.
	IdleServices []string
}

// RenewResponse answers a Renew.
type RenewResponse struct {
	Code   Code
	Leader string
	// Delta is an encoded registry.Delta; empty for no news.
	Delta []byte
	// IdleServices are the services that cannot serve now, in the whole fleet.
	IdleServices []string
}

// StatusRequest asks an owner for the status of a service, or, without one, the
// state leader for that of placement.
type StatusRequest struct{ Service string }

// StatusResponse answers StatusRequest with an encoded status.
type StatusResponse struct{ Status []byte }

// VersionsRequest asks a host what it has applied.
type VersionsRequest struct{}

// VersionsResponse answers VersionsRequest.
type VersionsResponse struct {
	Revision      uint64
	FleetVersion  uint64
	OutageVersion uint64
}

// IdentityRequest asks a host for its state replica's identity.
type IdentityRequest struct{}

// IdentityResponse answers IdentityRequest; ID is empty for a host without a replica.
type IdentityResponse struct {
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
	// WarmChats is the number of chats that are warm on the target.
	WarmChats int
}

// DigestService is the load of one service at its owner.
type DigestService struct {
	Name     string
	Queued   int
	InFlight int
}

// RosterUpdate passes on what a state replica has heard of targets itself.
type RosterUpdate struct {
	Host    string
	Entries []roster.Entry
	// Watchers are the hosts that watch this replica.
	Watchers []string
	// Loads are the requests of these hosts, by target; nil for no word on them.
	Loads map[string]int
}

// WatchRequest asks a state replica for what is newer than the asking host's view.
type WatchRequest struct {
	Host         string
	Revision     uint64
	FleetVersion uint64
	// RosterSource and Roster name the table of targets that the host has: the
	// process that sent it and its version.
	RosterSource  uint64
	RosterVersion uint64
	// MaxWait is how long the answer may wait for news.
	MaxWait time.Duration
	// Loads are the host's own requests, by target.
	Loads map[string]int
}

// WatchResponse answers a Watch.
type WatchResponse struct {
	// QuorumConfirmed is set while a majority has confirmed the replica's state recently.
	QuorumConfirmed bool
	// Delta is an encoded registry.Delta; empty for no news.
	Delta         []byte
	RosterSource  uint64
	RosterVersion uint64
	Entries       []roster.Entry
	// WatcherCount is the number of hosts that watch any replica; 0 for unknown.
	WatcherCount int
	// ReplicaAddresses are the peer addresses of the state replicas.
	ReplicaAddresses []string
	// Loads are the requests of all hosts, by target, where these are far from
	// MeanLoad, which stands for the others.
	Loads    map[string]int
	MeanLoad float64
}

// JoinRequest asks the state leader to add a replica to the cluster, or to put it in
// the place of its host's former one.
type JoinRequest struct {
	ID      string
	Host    string
	Address string
	// Forwarded is set once a replica that does not lead has passed it on.
	Forwarded bool
}

func (RosterUpdate) message()      {}
func (WatchRequest) message()      {}
func (WatchResponse) message()     {}
func (JoinRequest) message()       {}
func (Ping) message()              {}
func (Pong) message()              {}
func (Failure) message()           {}
func (AcquireRequest) message()    {}
func (Permit) message()            {}
func (Refusal) message()           {}
func (Releases) message()          {}
func (Ack) message()               {}
func (AdoptPermits) message()      {}
func (TargetUpdate) message()      {}
func (TargetUpdateAck) message()   {}
func (ServiceStateChunk) message() {}
func (QuorumMessages) message()    {}
func (ProposeRequest) message()    {}
func (ProposeResponse) message()   {}
func (RenewRequest) message()      {}
func (RenewResponse) message()     {}
func (StatusRequest) message()     {}
func (StatusResponse) message()    {}
func (VersionsRequest) message()   {}
func (VersionsResponse) message()  {}
func (IdentityRequest) message()   {}
func (IdentityResponse) message()  {}
func (Digest) message()            {}
