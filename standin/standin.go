// Package standin holds stand-in targets: a model engine and a plain service
// with a ledger, for `comfreytiller run`, tests and benchmarks.
package standin
