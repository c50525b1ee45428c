package chat

import "github.com/cespare/xxhash/v2"

// Key is the 64-bit hash of a chat's name; 0 means no chat.
type Key uint64

// KeyOf returns the key of the named chat, and 0 for the empty name.
func KeyOf(name string) Key {
	if name == "" {
		return 0
	}
	key := Key(xxhash.Sum64String(name))
	if key == 0 {
		return 1
	}
	return key
}
