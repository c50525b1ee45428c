// Package chat remembers on which target each chat's context is warm.
package chat
