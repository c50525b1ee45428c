package gateway

import (
	"sync"

	"github.com/go-faster/errors"

	"comfreytiller.dev/target"
)

// responseMemory limits the memory of all non-streaming responses that are being
// received or written. Without it, a few targets that send bodies without end would
// fill the memory of the host, although each body has a limit of its own.
type responseMemory struct {
	mu   sync.Mutex
	free int
}

// reserve takes bytes of the memory. It returns target.ErrResponseTooLarge if they are
// not free.
func (m *responseMemory) reserve(bytes int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if bytes > m.free {
		return errors.Wrap(target.ErrResponseTooLarge, "the memory for responses is in use")
	}
	m.free -= bytes
	return nil
}

// release returns bytes that were reserved.
func (m *responseMemory) release(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += bytes
}

// responseReservation is what a request has reserved for its responses.
type responseReservation struct {
	reservedBytes int
	// caller is the caller's connection; nil if it is not accounted for.
	caller *callerConn
}

// reserveBody reserves memory for the response until the exchange is closed.
func (d *dispatcher) reserveBody(bytes int) error {
	if err := d.gateway.responseMemory.reserve(bytes); err != nil {
		return err
	}
	d.reservedBytes += bytes
	if d.caller == nil {
		return nil
	}
	// The caller's connection holds the response until it is written.
	if err := d.caller.Hold(bytes); err != nil {
		return errors.Wrap(target.ErrResponseTooLarge, err.Error())
	}
	return nil
}

// releaseBody returns the memory of the responses of all attempts.
func (d *dispatcher) releaseBody() {
	d.gateway.responseMemory.release(d.reservedBytes)
	d.reservedBytes = 0
}
