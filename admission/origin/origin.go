// Package origin records which software version of a service's targets began a stream.
//
// What two versions write of one response does not fit together. A caller whose stream has
// broken off takes it up at any host, by the ID of the request that began it. The host that
// began the stream may be gone by then, so that hosts report the versions of their streams
// to the hubs, which tell each other, and a host that does not know a stream asks them. A
// stream whose version nobody knows is refused.
//
// The version could also follow from the ID alone, if hosts chose it by a hash of the ID
// among the versions that serve. But hosts learn at different times which versions do, and
// those that did when the stream began may be gone when it is taken up.
//
// The package does no I/O and starts no goroutine; the time is an argument.
//
// # Usage
//
//	table := origin.NewTable(maxRecords)
//	table.Add(now, origin.Record{Key: origin.KeyOf(service, id), Version: "v1", Until: deadline})
//	version, found := table.Find(now, origin.KeyOf(service, id))
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream of a service by the ID of the request that began it.
type Key uint64

// KeyOf returns the key of the stream that the request with the caller's ID began.
func KeyOf(service, id string) Key {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return Key(digest.Sum64())
}

// Record is the version that began a stream.
type Record struct {
	Key     Key
	Version string
	// Until is when the caller can no longer take the stream up.
	Until time.Time
}
