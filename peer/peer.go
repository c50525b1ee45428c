// Package peer carries the control messages between hosts.
package peer
