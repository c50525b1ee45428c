// Package jsonc reads JSON with comments into domain types and reports every
// fault with its line, its column and what is accepted there.
//
// The syntax tree is a library's; this package walks it with a list of accepted
// fields for each object, so that domain types need no tags.
//
// # Usage
//
//	r := &jsonc.Reader{Text: text}
//	root, ok := r.Tree(jsonc.Limits{MaxBytes: 1 << 20, Nesting: 16})
//	if ok {
//		r.Object(root, nil,
//			jsonc.Field{Name: "Host", Required: true, Read: jsonc.Name(r, &host)})
//	}
//	if len(r.Faults) > 0 {
//		return jsonc.NewFaults(r.Faults)
//	}
package jsonc

const (
	// MaxFaults is the largest number of faults reported at once.
	MaxFaults = 100
	// MaxNameBytes is the length of the longest name.
	MaxNameBytes = 64
)
