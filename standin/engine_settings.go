package standin

import (
	"time"

	"comfreytiller.dev/target"
)

// EngineSettings configures a stand-in engine. Zero values disable a feature.
type EngineSettings struct {
	Name          string
	FailureDomain string
	Service       string
	Model         string
	Version       string
	Adapters      []string
	Role          target.Role
	// Hosts are the IP:port addresses of the entry hosts to announce to.
	Hosts     []string
	SharedKey string
	// Heartbeat is the interval of load reports.
	Heartbeat   time.Duration
	Incarnation uint64
	// MaxRunning is the maximum number of requests that run at the same time.
	// Further requests are queued in the engine by priority. 0 sets no limit.
	MaxRunning int
	// CacheCapacityChats is the maximum number of chats in the prefix cache; 0 sets
	// no limit.
	CacheCapacityChats int
	// ColdRequests is the number of requests that a started engine must complete
	// to warm up; 0 starts it warm.
	ColdRequests int
	// ColdOverloadLimit and OverloadLimit are the maximum numbers of requests in
	// flight of a cold and of a warm engine. The engine crashes when they are
	// exceeded. 0 sets no limit.
	ColdOverloadLimit int
	OverloadLimit     int
	// FirstByte is the time to the first token for a chat that is not in the
	// prefix cache, WarmFirstByte for a chat that is, and ColdFirstByte for all
	// chats while the engine is cold.
	FirstByte     time.Duration
	WarmFirstByte time.Duration
	ColdFirstByte time.Duration
	// CacheEventDelay is the delay before the engine publishes a cache event.
	CacheEventDelay time.Duration
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// DefaultTokens is the number of tokens in a response if the request does not
	// set it.
	DefaultTokens int
	// ChecksFencingToken makes the engine reject orders with a stale fencing token.
	ChecksFencingToken bool
	// ModelLoadTime is how long an order to load a model takes.
	ModelLoadTime time.Duration
	// AdvertiseAddress returns the address to announce for the address that the
	// engine listens on, for example that of a relay. nil announces the listen
	// address.
	AdvertiseAddress func(address string) string
}

// defaultTokenCount is the default of EngineSettings.DefaultTokens.
const defaultTokenCount = 8

func (s EngineSettings) withDefaults() EngineSettings {
	if s.DefaultTokens == 0 {
		s.DefaultTokens = defaultTokenCount
	}
	if s.Incarnation == 0 {
		s.Incarnation = 1
	}
	return s
}
