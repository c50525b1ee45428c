package standin

import (
	"time"

	"comfreytiller.dev/target"
)

// EngineSettings describe a stand-in engine. Zero values leave a feature out.
type EngineSettings struct {
	Name          string
	FailureDomain string
	Service       string
	Model         string
	Version       string
	Adapters      []string
	Role          target.Role
	// Hosts are the entry hosts to announce to, IP:port.
	Hosts     []string
	SharedKey string
	// Heartbeat is the time between load reports.
	Heartbeat   time.Duration
	Incarnation uint64
	// MaxRunning is the number of requests that run at once; the rest wait inside
	// the engine by priority. 0 is no bound.
	MaxRunning int
	// CacheCapacityChats is the number of chats in the prefix memory; 0 is no bound.
	CacheCapacityChats int
	// ColdRequests is the number of requests completed before a started engine
	// is warm; 0 starts warm.
	ColdRequests int
	// ColdOverloadLimit and Bears are the numbers in flight beyond which the engine
	// falls over while cold and while warm; 0 is no bound.
	ColdOverloadLimit int
	OverloadLimit     int
	// FirstByte is the time to the first token of a chat that is not in the
	// prefix memory, WarmFirstByte of one that is, and ColdFirstByte while the
	// engine is cold.
	FirstByte     time.Duration
	WarmFirstByte time.Duration
	ColdFirstByte time.Duration
	// CacheEventDelay is how late the engine publishes its cache events.
	CacheEventDelay time.Duration
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// DefaultTokens is the length of an answer whose request names none.
	DefaultTokens int
	// ChecksFencingToken makes the engine refuse orders with an old fencing number.
	ChecksFencingToken bool
	// ModelLoadTime is how long an order to load a model takes.
	ModelLoadTime time.Duration
	// AdvertiseAddress returns the address to announce for the one that the engine
	// listens on, such as a relay's; nil announces that one.
	AdvertiseAddress func(address string) string
}

// defaultTokens is the length of an answer.
const defaultTokens = 8

func (s EngineSettings) withDefaults() EngineSettings {
	if s.DefaultTokens == 0 {
		s.DefaultTokens = defaultTokens
	}
	if s.Incarnation == 0 {
		s.Incarnation = 1
	}
	return s
}
