package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"

	"github.com/go-faster/errors"
)

// Magic opens every connection of this protocol, so that one listener can also
// serve HTTP.
const Magic = "CTP1"

const (
	nonceBytes  = 16
	macBytes    = sha256.Size
	maxNameByte = 255
	roleDialer  = "dialer"
	roleServer  = "server"
)

// greet proves the key to the server and checks that it knows it too.
//
//	dialer: Magic, nonce, length of host, host
//	server: nonce, MAC
//	dialer: MAC
func greet(conn net.Conn, key []byte, host string) error {
	if len(host) > maxNameByte {
		return errors.Errorf("host name of %d bytes, at most %d", len(host), maxNameByte)
	}
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return errors.Wrap(err, "make nonce")
	}
	hello := append([]byte(Magic), own...)
	hello = append(hello, byte(len(host)))
	hello = append(hello, host...)
	if _, err := conn.Write(hello); err != nil {
		return errors.Wrap(err, "send greeting")
	}
	reply := make([]byte, nonceBytes+macBytes)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return errors.Wrap(err, "read greeting")
	}
	theirs := reply[:nonceBytes]
	if !hmac.Equal(reply[nonceBytes:], proof(key, roleServer, own, theirs, host)) {
		return errors.Wrapf(ErrKeyMismatch, "server %s", conn.RemoteAddr())
	}
	if _, err := conn.Write(proof(key, roleDialer, own, theirs, host)); err != nil {
		return errors.Wrap(err, "send proof")
	}
	return nil
}

// welcome checks a dialer, whose Magic is not yet read, and returns its host
// name.
func welcome(conn net.Conn, key []byte) (string, error) {
	head := make([]byte, len(Magic)+nonceBytes+1)
	if _, err := io.ReadFull(conn, head); err != nil {
		return "", errors.Wrap(err, "read greeting")
	}
	if string(head[:len(Magic)]) != Magic {
		return "", errors.Wrap(ErrInvalidFrame, "greeting without magic")
	}
	theirs := head[len(Magic) : len(Magic)+nonceBytes]
	name := make([]byte, head[len(head)-1])
	if _, err := io.ReadFull(conn, name); err != nil {
		return "", errors.Wrap(err, "read host name")
	}
	host := string(name)
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return "", errors.Wrap(err, "make nonce")
	}
	reply := append(own, proof(key, roleServer, theirs, own, host)...)
	if _, err := conn.Write(reply); err != nil {
		return "", errors.Wrap(err, "send greeting")
	}
	mac := make([]byte, macBytes)
	if _, err := io.ReadFull(conn, mac); err != nil {
		return "", errors.Wrap(err, "read proof")
	}
	if !hmac.Equal(mac, proof(key, roleDialer, theirs, reply[:nonceBytes], host)) {
		return "", errors.Wrapf(ErrKeyMismatch, "dialer %s from %s", host, conn.RemoteAddr())
	}
	return host, nil
}

func proof(key []byte, role string, dialer, server []byte, host string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(dialer)
	mac.Write(server)
	mac.Write([]byte(host))
	return mac.Sum(nil)
}
