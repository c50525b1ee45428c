// Package journal keeps a replica's log and snapshots on disk.
package journal
