package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/go-faster/errors"

	"comfreytiller.dev/target/conn"
)

// Errors of relayed connections.
var (
	// ErrRelayUnavailable: the relay can't be reached, doesn't relay, has no room, or can't tell
	// whether the address can be reached.
	ErrRelayUnavailable = errors.New("relay unavailable")
	// ErrRelayUnreachable: the relay can't connect to the address itself.
	ErrRelayUnreachable = errors.New("unreachable from the relay")
	// ErrRelayAborted: a relayed connection ended without an orderly end.
	ErrRelayAborted = errors.New("relayed connection aborted")
)

// relayStatus is the response of a relay to the address that it should connect to.
type relayStatus byte

const (
	relayConnected relayStatus = iota + 1
	relayUnreachable
	relayUnavailable
)

const (
	// relayHeaderBytes is the size of a chunk's header, the length of the chunk. A length of 0 is
	// the orderly end of what the relay has received.
	relayHeaderBytes = 2
	// relayBufferBytes is the size of the buffer of a relayed connection in each direction.
	relayBufferBytes = 4 << 10
	maxAddressBytes  = 255
)

// RelayDialer opens a connection to an address for another host. It returns ErrRelayUnavailable if
// its failure doesn't tell whether others reach the address.
type RelayDialer func(ctx context.Context, address string) (net.Conn, error)

// DialRelay opens a connection to an address by way of the host at relay, which passes on the
// bytes of both directions unchanged. It returns ErrRelayUnavailable, ErrRelayUnreachable or the
// error of ctx. A read of the connection returns ErrRelayAborted unless the connection between
// relay and address ended in an orderly way.
func (n *Node) DialRelay(ctx context.Context, relay, address string) (net.Conn, error) {
	if len(address) > maxAddressBytes {
		return nil, errors.Wrapf(ErrRelayUnreachable, "address of %d bytes", len(address))
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", relay)
	if err != nil {
		return nil, errors.Wrapf(ErrRelayUnavailable, "dial %s: %v", relay, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	status, err := n.requestRelay(raw, address)
	if !stop() {
		err = errors.Wrapf(ctx.Err(), "relay %s", relay)
	}
	switch {
	case err != nil:
		_ = raw.Close()
		return nil, errors.Wrapf(ErrRelayUnavailable, "%s: %v", relay, err)
	case status == relayUnreachable:
		_ = raw.Close()
		return nil, errors.Wrapf(ErrRelayUnreachable, "%s from %s", address, relay)
	case status != relayConnected:
		_ = raw.Close()
		return nil, errors.Wrapf(ErrRelayUnavailable, "%s doesn't relay to %s now", relay, address)
	}
	return &relayedConn{Conn: raw}, nil
}

// requestRelay authenticates both ends and sends the address.
func (n *Node) requestRelay(raw net.Conn, address string) (relayStatus, error) {
	if err := dialerHandshake(raw, relayMagic, n.config.Key, n.config.Host); err != nil {
		return 0, err
	}
	if _, err := raw.Write(append([]byte{byte(len(address))}, address...)); err != nil {
		return 0, errors.Wrap(err, "send address")
	}
	var status [1]byte
	if _, err := io.ReadFull(raw, status[:]); err != nil {
		return 0, errors.Wrap(err, "read status")
	}
	return relayStatus(status[0]), nil
}

// serveRelay connects an authenticated host to the address that it names, and passes on bytes until
// one of the connections ends.
func (n *Node) serveRelay(raw net.Conn) error {
	defer func() { _ = raw.Close() }()
	var length [1]byte
	if _, err := io.ReadFull(raw, length[:]); err != nil {
		return errors.Wrap(err, "read length of address")
	}
	address := make([]byte, length[0])
	if _, err := io.ReadFull(raw, address); err != nil {
		return errors.Wrap(err, "read address")
	}
	if !n.beginRelay(raw) {
		return writeRelayStatus(raw, relayUnavailable)
	}
	defer n.endRelay(raw)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dialed, err := n.config.Relay(ctx, string(address))
	if err != nil {
		status := relayUnreachable
		if errors.Is(err, ErrRelayUnavailable) {
			status = relayUnavailable
		}
		return errors.Join(errors.Wrapf(err, "connect to %s for a host", address), writeRelayStatus(raw, status))
	}
	defer func() { _ = dialed.Close() }()
	if err := writeRelayStatus(raw, relayConnected); err != nil {
		return err
	}
	_ = raw.SetDeadline(noDeadline)
	var sending sync.WaitGroup
	sending.Go(func() {
		// The host has closed its connection: the address must learn of it at once.
		_, _ = io.CopyBuffer(onlyWriter{dialed}, onlyReader{raw}, make([]byte, relayBufferBytes))
		_ = dialed.Close()
	})
	if err := relayChunks(raw, dialed); err != nil {
		_ = raw.Close()
	}
	sending.Wait()
	return nil
}

// beginRelay registers a connection that is relayed from now on. It reports false if there are too
// many, or if the node is closed or doesn't relay.
func (n *Node) beginRelay(raw net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.config.Relay == nil || len(n.relayed) >= n.config.MaxRelayed {
		return false
	}
	n.relayed[raw] = struct{}{}
	return true
}

func (n *Node) endRelay(raw net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.relayed, raw)
}

// onlyReader and onlyWriter hide the other methods of a connection, so that the size of the buffer
// holds.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)

func writeRelayStatus(raw net.Conn, status relayStatus) error {
	_, err := raw.Write([]byte{byte(status)})
	return err
}

// relayChunks passes on what arrives from source, and its orderly end. It returns an error for
// any other end.
func relayChunks(destination io.Writer, source net.Conn) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		count, err := source.Read(buffer[relayHeaderBytes:])
		if count > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(count))
			if _, writeErr := destination.Write(buffer[:relayHeaderBytes+count]); writeErr != nil {
				return errors.Wrap(writeErr, "pass on")
			}
		}
		if errors.Is(err, io.EOF) {
			if err := conn.CheckNotAborted(source); err != nil {
				return err
			}
			_, err := destination.Write(make([]byte, relayHeaderBytes))
			return err
		}
		if err != nil {
			return errors.Wrap(err, "read")
		}
	}
}

// relayedConn is the end of a relayed connection at the host that dialed it.
type relayedConn struct {
	net.Conn
	// header holds the first headerRead bytes of the present chunk's header.
	header     [relayHeaderBytes]byte
	headerRead int
	// remaining is the number of bytes of the present chunk that were not read.
	remaining int
	hasEnded  bool
}

// Read returns io.EOF after the orderly end of the connection behind the relay, ErrRelayAborted
// after any other, and the error of a deadline. It reads no more from the relay than it returns,
// so that the state of the socket tells whether there is input.
func (c *relayedConn) Read(p []byte) (int, error) {
	for c.remaining == 0 {
		if c.hasEnded {
			return 0, io.EOF
		}
		count, err := c.Conn.Read(c.header[c.headerRead:])
		c.headerRead += count
		if err != nil {
			return 0, relayReadError(err)
		}
		if c.headerRead < relayHeaderBytes {
			continue
		}
		c.headerRead = 0
		c.remaining = int(binary.BigEndian.Uint16(c.header[:]))
		c.hasEnded = c.remaining == 0
	}
	count, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= count
	return count, relayReadError(err)
}

// SyscallConn returns the descriptor of the connection to the relay.
func (c *relayedConn) SyscallConn() (syscall.RawConn, error) {
	systemConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("a connection of type %T has no descriptor", c.Conn)
	}
	return systemConn.SyscallConn()
}

func relayReadError(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrRelayAborted
	}
	return err
}
