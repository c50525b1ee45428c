// Package target defines the targets that the fleet routes to: their
// announcements, their load reports and the chat contexts that they cache.
//
// The types decouple routing decisions from the targets' protocols: an adapter
// converts protocol messages into these types, and the decision code depends on
// nothing else of a protocol.
//
// Every message contains the target's incarnation, which increases with each start
// of the target, and a sequence number that increases within the incarnation.
// Receivers drop messages that are older than one they have already processed.
//
// # Usage
//
//	a := target.Announcement{Name: "engine-3",
//		Stamp:   target.Stamp{Incarnation: 7, Sequence: 1},
//		Address: "127.0.0.1:9000", Service: "Reviews", Kind: target.KindModel}
package target

// Kind distinguishes model engines from plain services.
type Kind string

// The kinds of target.
const (
	KindModel Kind = "Model"
	KindPlain Kind = "Plain"
)

// Role is the role of a model engine in disaggregated serving.
type Role string

// The roles of model engines. An engine that announces no role is RoleMixed.
const (
	RoleMixed   Role = "Mixed"
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
)

// Stamp is the logical timestamp that orders the messages of one target.
type Stamp struct {
	// Incarnation increases with each start of the target.
	Incarnation uint64
	// Sequence increases with each message of an incarnation.
	Sequence uint64
}

// After reports whether s is newer than other.
func (s Stamp) After(other Stamp) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Sequence > other.Sequence
}

// Announcement registers a target with its address and capabilities. It is sent at
// the start and again whenever a field changes.
type Announcement struct {
	Name string
	Stamp
	// Address is the IP:port for calls and orders.
	Address string
	// FailureDomain is the failure domain in which the target runs.
	FailureDomain string
	Kind          Kind
	// Service is the service that the target currently serves; empty for an engine
	// without a loaded model.
	Service  string
	Model    string
	Version  string
	Adapters []string
	Role     Role
	// Capacity is the maximum number of concurrent requests after warm-up; 0 leaves
	// it to the configuration.
	Capacity int
	// CacheCapacityChats is the number of chat contexts that fit in the prefix cache;
	// 0 if unknown.
	CacheCapacityChats int
	// Cold is set by a target that has just started.
	Cold bool
	// ChecksFencingToken is set by a target that rejects outdated fencing tokens.
	ChecksFencingToken bool
	// SupportsResume is set by a target that can resume an interrupted stream at an
	// offset.
	SupportsResume bool
	// SupportsCacheTransfer is set by a target that can export and import KV cache.
	SupportsCacheTransfer bool
}

// LoadReport is the load as measured by the target. It arrives with a delay and also
// serves as a heartbeat.
type LoadReport struct {
	Name string
	Stamp
	// Service is the service that the target currently serves. It determines the host
	// to which other hosts forward the message.
	Service string
	// InFlight is the number of requests that the target is running.
	InFlight int
	// Queued is the number of requests in the target's own queue.
	Queued int
	// CacheUsed is the used fraction of the prefix cache, from 0 to 1.
	CacheUsed float64
	// Cold is set while the target has not warmed up.
	Cold bool
}

// CacheChange is a change of a chat's context in the prefix cache.
type CacheChange string

// The cache changes.
const (
	CacheStored  CacheChange = "Stored"
	CacheEvicted CacheChange = "Evicted"
	CacheCleared CacheChange = "Cleared"
)

// CacheEvent reports that the target stored, evicted or cleared chat contexts.
// Cache events have their own sequence of stamps; a gap means that events were lost.
type CacheEvent struct {
	Name string
	Stamp
	// Service has the same meaning as in LoadReport.
	Service string
	Change  CacheChange
	// Chats are the affected chats; empty for CacheCleared.
	Chats []string
}

// Leave reports that the target accepts no new requests from now on.
type Leave struct {
	Name string
	Stamp
	// Service has the same meaning as in LoadReport.
	Service string
}
