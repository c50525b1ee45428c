// Package standin provides stand-in targets for `comfreytiller run`, tests and
// benchmarks: a model engine that streams tokens and has a prefix cache, and a
// plain service that counts every run of a request. Both listen on a free
// loopback port and implement the protocol of package target/web.
//
// Faults can be injected into their responses. A Blackhole between a host and a
// target simulates connections that the network drops without notice.
//
// # Usage
//
//	engine, err := standin.NewEngine(clockwork.NewRealClock(), standin.EngineSettings{
//		Name: "engine-1", Service: "Reviews", Hosts: []string{"127.0.0.1:8080"}})
//	defer engine.Close()
package standin
