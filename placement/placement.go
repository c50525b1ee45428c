// Package placement decides which target serves which service.
package placement
