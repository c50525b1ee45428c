// Package session keeps a host's lease with the state replicas.
package session
