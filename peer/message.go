package peer

import (
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/admission/rollout"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/ratelimit"
	"comfreytiller.dev/target/roster"
)

// Message is the body of a frame. It is implemented by the types in this file.
type Message interface{ message() }

// Ping asks for a Pong. The pair distinguishes an idle connection from a lost one.
type Ping struct{}

// Pong answers a Ping.
type Pong struct{}

// Failure is the reply to a call that the peer could not execute.
type Failure struct{ Message string }

// AcquireRequest asks the owner of a service for a permit.
type AcquireRequest struct {
	Request admission.Request
	// FencingToken is the owner's fencing token as known by the requesting host.
	FencingToken uint64
}

// Permit grants an AcquireRequest. Fields that repeat the request (RequestID,
// Host, Service, Workspace and Chat) are not sent and are empty when decoded.
type Permit struct{ Permit admission.Permit }

// Refusal rejects an AcquireRequest.
type Refusal struct{ Refusal admission.Refusal }

// Releases returns permits of one service. The targets are not sent, since the
// owner knows them.
type Releases struct {
	Service  string
	Releases []admission.Release
}

// Ack confirms that a message was received.
type Ack struct{}

// AdoptPermits reports to a new owner the permits that a host holds for the
// service.
type AdoptPermits struct {
	Host         string
	Session      uint64
	Service      string
	FencingToken uint64
	Permits      []admission.Permit
}

// TargetUpdate forwards a message from a target. Exactly one of the pointer
// fields is set.
type TargetUpdate struct {
	Service      string
	Announcement *target.Announcement
	Load         *target.LoadReport
	Cache        *target.CacheEvent
	Leave        *target.Leave
}

// TargetUpdateAck is the reply to a TargetUpdate. Known is false when the
// target must announce itself again.
type TargetUpdateAck struct{ Known bool }

// ServiceStateChunk carries part of the state of a service from its owner to the
// owner's backup or successor.
type ServiceStateChunk struct {
	Service      string
	FencingToken uint64
	Data         []byte
}

// QuorumMessages carries encoded messages between state replicas.
type QuorumMessages struct{ Messages []byte }

// ProposeRequest asks a state replica to commit an encoded command.
type ProposeRequest struct{ Command []byte }

// Code is the result of a call to a state replica.
type Code string

// Result codes of calls to state replicas.
const (
	CodeDone Code = "Done"
	// CodeNotLeader reports that the replica did not execute the call, since it does
	// not lead or could not accept the command.
	CodeNotLeader Code = "NotLeader"
	// CodeUnknown reports that the command may have been committed.
	CodeUnknown Code = "Unknown"
	// CodeNoSession reports that the session is unknown, superseded or being expired.
	CodeNoSession Code = "NoSession"
	// CodeNotReplica reports that the host has no state replica.
	CodeNotReplica Code = "NotReplica"
	// CodeUnknownMember reports that no state replica has the ID.
	CodeUnknownMember Code = "UnknownMember"
	// CodeUnreachable reports that the host of the new replica did not answer.
	CodeUnreachable Code = "Unreachable"
	// CodeNoReplicaAtAddress reports that the host at the address has no state replica.
	CodeNoReplicaAtAddress Code = "NoReplicaAtAddress"
	// CodeRejected reports that the leader does not make the change.
	CodeRejected Code = "Rejected"
)

// ProposeResponse is the reply to a ProposeRequest.
type ProposeResponse struct {
	Code   Code
	Result []byte
	// Leader is the leader's peer address; empty if unknown.
	Leader string
}

// RenewRequest renews a session's lease and asks for changes to the replicated
// state.
type RenewRequest struct {
	Session      uint64
	Revision     uint64
	FleetVersion uint64
	// MaxWait is how long the reply may be delayed until there are changes.
	MaxWait time.Duration
	// UnavailableServices are the services owned by the host that cannot serve now.
	UnavailableServices []string
}

// RenewResponse is the reply to a RenewRequest.
type RenewResponse struct {
	Code   Code
	Leader string
	// Delta is an encoded registry.Delta; empty if nothing has changed.
	Delta []byte
	// UnavailableServices are the services of the whole fleet that cannot serve now.
	UnavailableServices []string
}

// StatusRequest asks the owner of a service for its status. With an empty
// Service, it asks the state leader for the placement status.
type StatusRequest struct{ Service string }

// StatusResponse carries the encoded status asked for by a StatusRequest.
type StatusResponse struct{ Status []byte }

// VersionsRequest asks a host for the versions of the state it has applied.
type VersionsRequest struct{}

// VersionsResponse is the reply to a VersionsRequest.
type VersionsResponse struct {
	Revision      uint64
	FleetVersion  uint64
	OutageVersion uint64
}

// HostsRequest asks a hub for the entry hosts that poll it.
type HostsRequest struct{}

// HostsResponse is the reply to a HostsRequest.
type HostsResponse struct {
	// Addresses are the peer addresses of the hosts.
	Addresses []string
}

// IdentityRequest asks a host for the identity of its state replica.
type IdentityRequest struct{}

// IdentityResponse is the reply to an IdentityRequest. ID is empty for a host
// without a replica.
type IdentityResponse struct {
	ID   string
	Host string
	// Cluster is the cluster's identity; empty for a replica that has not been
	// added to a cluster.
	Cluster string
	// LastTerm and LastIndex are those of the last entry of the log; 0 for an empty log, and
	// from earlier releases.
	LastTerm  uint64
	LastIndex uint64
}

// MemberChange is a change of the members of the state replicas.
type MemberChange string

// The changes of members.
const (
	MemberAdd     MemberChange = "Add"
	MemberRemove  MemberChange = "Remove"
	MemberReplace MemberChange = "Replace"
)

// MemberChangeRequest asks the leader's host for a change of the members of the state
// replicas. It may be repeated: a change that was made in part goes on where it stopped.
type MemberChangeRequest struct {
	Change MemberChange
	// ID is the replica to remove or replace.
	ID string
	// Address is the peer address of the host with the new replica.
	Address string
}

// MemberChangeResponse is the reply to a MemberChangeRequest.
type MemberChangeResponse struct {
	Code Code
	// Message describes the result to operators.
	Message string
	// Leader is the leader's peer address; empty if unknown.
	Leader string
}

// RosterUpdate distributes what a state replica has received itself to the other state
// replicas: announcements, and what hosts reported to it. Hosts send it with Origins, or with
// WantedOrigin, alone.
type RosterUpdate struct {
	Host    string
	Entries []roster.Entry
	// Watchers are the hosts that send their watch requests to this replica.
	Watchers []string
	// Loads are the requests in flight from these hosts by target; nil if not
	// reported.
	Loads map[roster.Key]int
	// CrashReport is what hosts reported to this replica about crashes of targets, and
	// Quarantined are the suspects in quarantine.
	CrashReport quarantine.Report
	Quarantined []quarantine.Suspect
	// Origins are the versions that began streams, from a host or, if Relayed is set, from a
	// replica that hosts told.
	Origins []origin.Record
	Relayed bool
	// WantedOrigin asks for the version that began a stream; 0 for none. The reply is a
	// RosterUpdate with the record, or without if the replica does not learn it within
	// MaxWait.
	WantedOrigin origin.Key
	MaxWait      time.Duration
	// LowestRevision is the lowest revision of the state view on the hosts that watch this
	// replica, the largest number if there are none; 0 if it is not reported.
	LowestRevision uint64
	// Replica is the ID of the sender's state replica, "" if not reported. It durably holds
	// the fleet configuration of FleetVersion, the outages of OutageVersion and the rollouts
	// up to the number RolloutVersion.
	Replica        string
	FleetVersion   uint64
	OutageVersion  uint64
	RolloutVersion uint64
	// Rollouts are the sums of what hosts reported to the process RolloutSource of this
	// replica; nil if they are not reported.
	Rollouts      []rollout.ServiceReport
	RolloutSource uint64
	// Serves is set if the sender has contact with a majority. Served is then the number of
	// hosts that it serves.
	Serves bool
	Served int
	// Renewals are targets whose announcements changed nothing since the sender sent their
	// entries. ReadsRenewals is set if the sender understands them; it is reported together
	// with Replica.
	Renewals      []roster.Renewal
	ReadsRenewals bool
	// Wanted asks for the entries with these fingerprints, which the sender lacks.
	Wanted []roster.Fingerprint
	// SilentVoters are the IDs of the voters that have been silent at Replica for long enough
	// to be replaced.
	SilentVoters []string
}

// WatchRequest asks a state replica for changes since the requesting host's view.
type WatchRequest struct {
	Host         string
	Revision     uint64
	FleetVersion uint64
	// RosterSource and RosterVersion identify the target roster that the host has:
	// the process that sent it and its version.
	RosterSource  uint64
	RosterVersion uint64
	// RosterSummary describes the roster that the host has from another replica; nil for none,
	// and if this replica sent it.
	RosterSummary roster.Summary
	// MaxWait is how long the reply may be delayed until there are changes.
	MaxWait time.Duration
	// Loads are the host's own requests in flight by target.
	Loads map[roster.Key]int
	// CrashReport is what the host learned about crashes of targets since its last request.
	CrashReport quarantine.Report
	// SuspectsVersion is the version of the list of suspects that the host has from
	// RosterSource.
	SuspectsVersion uint64
	// Quarantined are suspects in quarantine that RosterSource did not list.
	Quarantined []quarantine.Suspect
	// RateLimits are those that differ from what RosterSource told of their targets.
	RateLimits []ratelimit.Report
	// StateOnly asks only for the state view, and for a reply at once. A host sends it to
	// other replicas than the one that it watches to learn whether its view is current.
	StateOnly bool
	// MaxDeltaBytes is the maximum size of the delta in the reply; 0 for no limit.
	MaxDeltaBytes int
	// PeerAddress is where other hosts reach this one; empty if they don't.
	PeerAddress string
	// PendingRevision is a later revision that the host is getting the delta to; 0 for none.
	PendingRevision uint64
	// Direct asks the replica for a large delta itself, not for hosts that have it.
	Direct bool
	// Rollout is what the host counted of services in rollout since its last request.
	Rollout rollout.Report
	// IsFirst asks for the whole state view and the roster of targets. A host without a view
	// sends it, with StateOnly for earlier releases, to replicas and to hosts that they name.
	IsFirst bool
	// ReplyTimeout is how long the host waits for the reply; 0 if unknown.
	ReplyTimeout time.Duration
	// PassesViews is set if the host replies to requests with IsFirst.
	PassesViews bool
	// ReadsPacked is set if the host understands a reply with PackedEntries.
	ReadsPacked bool
	// Refused are the subjects in quarantine because of which requests were refused lately.
	Refused []quarantine.Subject
}

// WatchResponse is the reply to a WatchRequest.
type WatchResponse struct {
	// QuorumConfirmed is set while a majority has recently confirmed that the
	// replica is current.
	QuorumConfirmed bool
	// Delta is an encoded registry.Delta; empty if nothing has changed.
	Delta         []byte
	RosterSource  uint64
	RosterVersion uint64
	Entries       []roster.Entry
	// WatcherCount is the number of hosts that watch any replica; 0 if unknown.
	WatcherCount int
	// PresentCount is the number of hosts that watch any replica so far while their number is
	// unknown, since the replica has just started; 0 otherwise, and from earlier releases.
	PresentCount int
	// ReplicaAddresses are the peer addresses of the state replicas.
	ReplicaAddresses []string
	// Loads are the requests in flight from all hosts, by target, for targets whose
	// load is far from MeanLoad. MeanLoad applies to all other targets.
	Loads    map[roster.Key]int
	MeanLoad float64
	// WithoutLoads is set if the replica sent loads to the host a moment ago. Loads
	// and MeanLoad are then empty and say nothing.
	WithoutLoads bool
	// SuspectsVersion is the version of the replica's list of suspects; 0 if it reports
	// none. Suspects is the list; it is empty if the host has that version.
	SuspectsVersion uint64
	Suspects        []quarantine.Suspect
	// Trials are the subjects in quarantine with which the host may send one request.
	Trials []quarantine.Subject
	// ConfirmedAge is how long before the reply the replica began the read barrier that last
	// confirmed its view; 0 if unknown. Held is how long it kept the request.
	ConfirmedAge time.Duration
	Held         time.Duration
	// OmittedRevision is the revision of the replica's view if the delta to it was larger
	// than the host allows; 0 otherwise.
	OmittedRevision uint64
	// Sources are the peer addresses of hosts that have the omitted delta.
	Sources []string
	// Checksum is the xxHash of Delta in the reply to a request with IsFirst; 0 for none.
	Checksum uint64
	// RetryAfter is set if the replica serves so many hosts that the host is to poll one of Hubs
	// after that time. They are peer addresses, the best one first.
	RetryAfter time.Duration
	Hubs       []string
	// IsWanted reports whether the reply is still waited for; nil for always. It is not sent.
	// A bulk reply that has waited for the link is dropped if it isn't wanted any more.
	IsWanted func() bool
	// Pending updates a bulk reply that waits for the link; nil if it is sent as it is. It is
	// not sent.
	Pending PendingReply
	// Packed are further entries, which are sent to several hosts; nil for none. In a received
	// reply they are among Entries.
	Packed *PackedEntries
}

// JoinRequest asks the state leader to add a replica to the cluster, or to
// replace the host's previous replica by it.
type JoinRequest struct {
	ID      string
	Host    string
	Address string
	// Forwarded is set when a follower has forwarded the request.
	Forwarded bool
}

func (RosterUpdate) message()         {}
func (WatchRequest) message()         {}
func (WatchResponse) message()        {}
func (JoinRequest) message()          {}
func (Ping) message()                 {}
func (Pong) message()                 {}
func (Failure) message()              {}
func (AcquireRequest) message()       {}
func (Permit) message()               {}
func (Refusal) message()              {}
func (Releases) message()             {}
func (Ack) message()                  {}
func (AdoptPermits) message()         {}
func (TargetUpdate) message()         {}
func (TargetUpdateAck) message()      {}
func (ServiceStateChunk) message()    {}
func (QuorumMessages) message()       {}
func (ProposeRequest) message()       {}
func (ProposeResponse) message()      {}
func (RenewRequest) message()         {}
func (RenewResponse) message()        {}
func (StatusRequest) message()        {}
func (StatusResponse) message()       {}
func (VersionsRequest) message()      {}
func (VersionsResponse) message()     {}
func (HostsRequest) message()         {}
func (HostsResponse) message()        {}
func (IdentityRequest) message()      {}
func (IdentityResponse) message()     {}
func (MemberChangeRequest) message()  {}
func (MemberChangeResponse) message() {}
func (Digest) message()               {}
