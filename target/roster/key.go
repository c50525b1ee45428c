package roster

import "github.com/cespare/xxhash/v2"

// Key identifies a target in reports of loads, where names would be most of the message.
// Two targets of a fleet may share a key; their reported loads are then mixed up.
type Key uint32

// KeyOf returns the key of the target with the name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }
