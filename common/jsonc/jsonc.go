// Package jsonc decodes JSON with comments into domain types and reports every
// fault with its line, its column and the accepted values.
//
// The hujson library parses the input. This package walks the syntax tree with a
// list of accepted fields for each object, so domain types need no struct tags.
//
// # Usage
//
//	r := &jsonc.Reader{Source: source}
//	root, ok := r.Parse(jsonc.Limits{MaxBytes: 1 << 20, MaxDepth: 16})
//	if ok {
//		r.Object(root, nil,
//			jsonc.Field{Name: "Host", Required: true, Read: jsonc.Name(r, &host)})
//	}
//	if len(r.Faults) > 0 {
//		return jsonc.NewFaults(r.Faults)
//	}
package jsonc

const (
	// MaxFaults is the maximum number of faults that are reported in detail.
	MaxFaults = 100
	// MaxNameBytes is the maximum length of a name in bytes.
	MaxNameBytes = 64
)
