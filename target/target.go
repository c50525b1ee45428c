// Package target describes the targets that the fleet routes to: what they
// announce, how they report their load and which chat contexts they hold.
//
// The types are the narrow interface between the targets' protocol and the
// decisions: an adapter turns whatever a target sends into these messages, and
// nothing else of the protocol reaches the decision code.
//
// Every message carries the target's incarnation, which grows with each start
// of the target, and a sequence that grows within the incarnation. A receiver
// drops a message that is older than one it has already taken.
//
// # Usage
//
//	a := target.Announcement{Name: "engine-3", Incarnation: 7, Sequence: 1,
//		Address: "127.0.0.1:9000", Service: "Reviews", Kind: target.KindModel}
package target

// Kind tells a model engine from a plain service.
type Kind string

// The kinds of target.
const (
	KindModel Kind = "Model"
	KindPlain Kind = "Plain"
)

// Role is the part that a model engine plays.
type Role string

// The roles of model engines. An engine that announces none is RoleMixed.
const (
	RoleMixed   Role = "Mixed"
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
)

// Stamp orders the messages of one target.
type Stamp struct {
	// Incarnation grows with each start of the target.
	Incarnation uint64
	// Sequence grows with each message of one incarnation.
	Sequence uint64
}

// After reports whether s is newer than other.
func (s Stamp) After(other Stamp) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Sequence > other.Sequence
}

// Announcement says that a target exists, where it is and what it can do. It is
// sent at the start and again whenever one of its fields changes.
type Announcement struct {
	Name string
	Stamp
	// Address is the IP:port that takes calls and orders.
	Address string
	// FailureDomain is where the target runs.
	FailureDomain string
	Kind          Kind
	// Service is the service that the target serves now; empty for an engine
	// that has nothing loaded.
	Service  string
	Model    string
	Version  string
	Adapters []string
	Role     Role
	// Capacity is the largest number of requests the target runs at once when
	// warm; 0 leaves it to the fleet text.
	Capacity int
	// CacheCapacityChats is the number of chat contexts that fit its prefix memory; 0
	// for unknown.
	CacheCapacityChats int
	// Cold is set by a target that knows it has just started.
	Cold bool
	// ChecksFencingToken is set by a target that refuses an old fencing number.
	ChecksFencingToken bool
	// SupportsResume is set by a target that continues a cut stream at an offset.
	SupportsResume bool
	// SupportsCacheTransfer is set by a target that exports and imports KV cache.
	SupportsCacheTransfer bool
}

// LoadReport is the target's own view of its load. It arrives with a lag, and
// serves as heartbeat.
type LoadReport struct {
	Name string
	Stamp
	// Service is the service that the target serves now, which tells any host
	// whom to pass the message on to.
	Service string
	// InFlight is the number of requests that run on the target.
	InFlight int
	// Queued is the number of requests that wait inside the target.
	Queued int
	// CacheUsed is the share of the prefix memory in use, 0 to 1.
	CacheUsed float64
	// Cold is set while the target knows it is cold.
	Cold bool
}

// CacheChange is what happened to a chat's context.
type CacheChange string

// The cache changes.
const (
	CacheStored  CacheChange = "Stored"
	CacheEvicted CacheChange = "Evicted"
	CacheCleared CacheChange = "Cleared"
)

// CacheEvent tells that the target stored, evicted or cleared chat contexts.
// Its stamps form a sequence of their own: a gap in it means events were lost.
type CacheEvent struct {
	Name string
	Stamp
	// Service is as in a LoadReport.
	Service string
	Change  CacheChange
	// Chats are the chats concerned; empty for CacheCleared.
	Chats []string
}

// Leave says that the target takes no new work from now on.
type Leave struct {
	Name string
	Stamp
	// Service is as in a LoadReport.
	Service string
}
