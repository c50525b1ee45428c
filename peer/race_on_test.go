//go:build race

package peer

// droppedByPool is the part of the items that sync.Pool drops on purpose with the race detector.
const droppedByPool = 0.25
