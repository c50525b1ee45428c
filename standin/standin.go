// Package standin holds stand-in targets, for `comfreytiller run`, tests and
// benchmarks: a model engine that streams tokens and keeps a prefix cache, and a
// plain service with a ledger of every run. Both listen on a loopback port of
// the system's choice and speak the protocol of the package target/web.
//
// Faults can be injected into their answers, and a Blackhole between a host and
// a target loses connections without a sign.
//
// # Usage
//
//	engine, err := standin.NewEngine(clockwork.NewRealClock(), standin.EngineSettings{
//		Name: "engine-1", Service: "Reviews", Hosts: []string{"127.0.0.1:8080"}})
//	defer engine.Close()
package standin
