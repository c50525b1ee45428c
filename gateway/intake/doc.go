// Package intake bounds what a server holds for clients that nobody controls.
//
// A Budget limits the memory of all connections of a server: their buffers, the
// parsed lines of heads at their real cost, bodies that have not ended, and
// responses that have not been read. When it is short, the largest and slowest
// unfinished requests are shed first. A Conn accounts for one connection, and a
// BodyReader reads bodies without allocating a declared length before its bytes
// arrive.
//
// # Usage
//
//	budget := intake.NewBudget(intake.BudgetConfig{Clock: clock, Limit: 48 << 20})
//	server := intake.NewServer(intake.ServerConfig{Handler: handle, Budget: budget, MaxBodyBytes: 1 << 20})
//	err := server.Serve(intake.NewListener(listener, intake.ListenerConfig{Budget: budget, MaxConnections: 64}))
package intake
