package chat

// InstanceID identifies one incarnation of one target within a LocationMap.
type InstanceID uint16

// NoInstance is the InstanceID that stands for no instance.
const NoInstance InstanceID = 0

// The upper bits of record.usedAndFlags are flags. The rest is the time of the last
// use, in seconds since the map's start.
const (
	flagUncertain = 1 << 31
	flagDisplaced = 1 << 30
	flagChanged   = 1 << 29
	secondsMask   = flagChanged - 1
)

// record is the location of one chat. Its size is 24 bytes.
type record struct {
	chat Key
	// usedAndFlags holds the time of the last use and the flags.
	usedAndFlags uint32
	// newer and older link the records of the last instance, as record index plus one.
	newer uint32
	older uint32
	// last is where the chat ran last; second may hold an older copy.
	last   InstanceID
	second InstanceID
}

func (r *record) lastUsed() uint32 {
	return r.usedAndFlags & secondsMask
}

func (r *record) setLastUsed(seconds uint32) {
	r.usedAndFlags = r.usedAndFlags&^secondsMask | seconds&secondsMask
}

func (r *record) hasFlag(flag uint32) bool {
	return r.usedAndFlags&flag != 0
}

func (r *record) setFlag(flag uint32, on bool) {
	if on {
		r.usedAndFlags |= flag
	} else {
		r.usedAndFlags &^= flag
	}
}
