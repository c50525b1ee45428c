// Package settings reads and checks a host's settings.
package settings
