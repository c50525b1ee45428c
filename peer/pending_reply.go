package peer

// PendingReply is a reply that waits for the link, which may take seconds, and gets what changes
// meanwhile.
type PendingReply interface {
	// Urgent returns a channel that is closed once there is a change that must not wait with the
	// reply. It watches for changes until stop is closed.
	Urgent(stop <-chan struct{}) <-chan struct{}
	// Latest returns the reply as it is to be sent now.
	Latest() WatchResponse
}

// pendingReply returns what a message gets while it waits; nil if it is sent as it is.
func pendingReply(message Message) PendingReply {
	if response, ok := message.(WatchResponse); ok {
		return response.Pending
	}
	return nil
}

// encodeWanted encodes a frame with its latest content, or returns nil for a reply that is not
// waited for any more. The link of a hub is the bottleneck when all hosts start at once, and
// hosts that went to another hub don't read what waited here.
func (c *Conn) encodeWanted(f *frame) []byte {
	response, ok := f.message.(WatchResponse)
	if ok && response.IsWanted != nil && !response.IsWanted() {
		return nil
	}
	if ok && response.Pending != nil {
		f.message = response.Pending.Latest()
	}
	return c.encode(f)
}
