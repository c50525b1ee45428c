// Package admission decides, at the owner of a service, which request runs on
// which target and when.
package admission
