package chat

// InstanceID is the number of one incarnation of one target within a Memory.
type InstanceID uint16

// NoInstance stands for no place.
const NoInstance InstanceID = 0

// The upper bits of record.stamp are flags, the rest is the time of the last
// use in seconds since the memory's start.
const (
	flagDoubtful  = 1 << 31
	flagDisplaced = 1 << 30
	flagChanged   = 1 << 29
	secondsMask   = flagChanged - 1
)

// record is what is known of one chat, 24 bytes.
type record struct {
	chat Key
	// stamp holds the last use and the flags.
	stamp uint32
	// newer and older link the records of the last place, as index plus one.
	newer uint32
	older uint32
	// last is where the chat ran last; second may hold an older copy.
	last   InstanceID
	second InstanceID
}

func (r *record) used() uint32 {
	return r.stamp & secondsMask
}

func (r *record) setUsed(seconds uint32) {
	r.stamp = r.stamp&^secondsMask | seconds&secondsMask
}

func (r *record) is(flag uint32) bool {
	return r.stamp&flag != 0
}

func (r *record) set(flag uint32, on bool) {
	if on {
		r.stamp |= flag
	} else {
		r.stamp &^= flag
	}
}
