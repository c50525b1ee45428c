package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"

	"github.com/go-faster/errors"
)

// Magic is the first bytes of every connection of this protocol. It allows one
// listener to serve both this protocol and HTTP.
const Magic = "CTP1"

// relayMagic are the first bytes of a connection that asks for a relayed connection.
const relayMagic = "CTR1"

const (
	nonceBytes       = 16
	macBytes         = sha256.Size
	maxHostNameBytes = 255
	roleDialer       = "dialer"
	roleServer       = "server"
)

// dialerHandshake authenticates both ends of a dialed connection by the shared
// key. The magic bytes tell what the connection is for:
//
//	dialer: magic, nonce, length of host, host
//	server: nonce, MAC
//	dialer: MAC
func dialerHandshake(conn net.Conn, magic string, key []byte, host string) error {
	if len(host) > maxHostNameBytes {
		return errors.Errorf("host name of %d bytes, at most %d", len(host), maxHostNameBytes)
	}
	ownNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return errors.Wrap(err, "make nonce")
	}
	hello := append([]byte(magic), ownNonce...)
	hello = append(hello, byte(len(host)))
	hello = append(hello, host...)
	if _, err := conn.Write(hello); err != nil {
		return errors.Wrap(err, "send greeting")
	}
	reply := make([]byte, nonceBytes+macBytes)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return errors.Wrap(err, "read greeting")
	}
	peerNonce := reply[:nonceBytes]
	if !hmac.Equal(reply[nonceBytes:], handshakeMAC(key, roleFor(magic, roleServer), ownNonce, peerNonce, host)) {
		return errors.Wrapf(ErrKeyMismatch, "server %s", conn.RemoteAddr())
	}
	if _, err := conn.Write(handshakeMAC(key, roleFor(magic, roleDialer), ownNonce, peerNonce, host)); err != nil {
		return errors.Wrap(err, "send proof")
	}
	return nil
}

// roleFor returns the role of an end in the proofs of a connection with the magic bytes. A proof
// for one purpose is none for another.
func roleFor(magic, role string) string {
	if magic == Magic {
		return role
	}
	return magic + " " + role
}

// serverHandshake authenticates the dialer of an accepted connection and returns
// its host name and the magic bytes, which must not have been read from conn.
func serverHandshake(conn net.Conn, key []byte) (host, magic string, err error) {
	head := make([]byte, len(Magic)+nonceBytes+1)
	if _, err := io.ReadFull(conn, head); err != nil {
		return "", "", errors.Wrap(err, "read dialer hello")
	}
	magic = string(head[:len(Magic)])
	if magic != Magic && magic != relayMagic {
		return "", "", errors.Wrap(ErrInvalidFrame, "dialer hello does not start with the magic bytes")
	}
	peerNonce := head[len(Magic) : len(Magic)+nonceBytes]
	name := make([]byte, head[len(head)-1])
	if _, err := io.ReadFull(conn, name); err != nil {
		return "", "", errors.Wrap(err, "read host name")
	}
	host = string(name)
	ownNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return "", "", errors.Wrap(err, "generate nonce")
	}
	reply := append(ownNonce, handshakeMAC(key, roleFor(magic, roleServer), peerNonce, ownNonce, host)...)
	if _, err := conn.Write(reply); err != nil {
		return "", "", errors.Wrap(err, "send server hello")
	}
	mac := make([]byte, macBytes)
	if _, err := io.ReadFull(conn, mac); err != nil {
		return "", "", errors.Wrap(err, "read MAC")
	}
	if !hmac.Equal(mac, handshakeMAC(key, roleFor(magic, roleDialer), peerNonce, reply[:nonceBytes], host)) {
		return "", "", errors.Wrapf(ErrKeyMismatch, "dialer %s from %s", host, conn.RemoteAddr())
	}
	return host, magic, nil
}

// handshakeMAC returns the MAC by which one role proves that it knows the key.
func handshakeMAC(key []byte, role string, dialer, server []byte, host string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(dialer)
	mac.Write(server)
	mac.Write([]byte(host))
	return mac.Sum(nil)
}
