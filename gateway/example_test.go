package gateway_test

import (
	"context"
	"fmt"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/gateway"
	"comfreytiller.dev/target/web"
)

// full refuses everything, as an owner whose queue is full.
type full struct{}

func (full) Acquire(_ context.Context, request admission.Request) (admission.Permit, error) {
	return admission.Permit{}, &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedQueueFull, Message: "the queue of Desk is full",
	}
}

func (full) Release(admission.Release) {}

// catalog gives a fixed fleet.
type catalog struct{ fleet *fleet.Fleet }

func (c catalog) Fleet() *fleet.Fleet { return c.fleet }

func (catalog) Available(string) bool { return true }

// always is a lease that does not end.
type always struct{}

func (always) Check() error { return nil }

func Example() {
	text, err := fleet.Parse([]byte(`{
		"Name": "Office", "FailureDomains": ["East"],
		"Services": [{"Name": "Treasury", "Kind": "Plain", "Calls": [{"Name": "CheckBalance", "Idempotent": true}]}],
		"Workspaces": [{"Name": "Desk", "Share": 1}],
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	clock := clockwork.NewRealClock()
	entry := gateway.New(gateway.Dependencies{
		Admitter: full{}, Catalog: catalog{text}, Authority: always{},
		Sender: web.NewClient(clock), Clock: clock, Host: "entry-1",
	})
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI("/v1/services/Treasury/CheckBalance")
	ctx.Request.Header.Set(gateway.HeaderWorkspace, "Desk")
	entry.Handler(&ctx)
	fmt.Println(ctx.Response.StatusCode(), string(ctx.Response.Body()))
	// Output: 429 {"Code":"QueueFull","Message":"the queue of Desk is full","Ran":"No","RetryAfter":1}
}
