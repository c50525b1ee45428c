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

// fullAdmitter refuses every request, like the owner of a service whose queue is full.
type fullAdmitter struct{}

func (fullAdmitter) Acquire(_ context.Context, request admission.Request) (admission.Permit, error) {
	return admission.Permit{}, &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedQueueFull, Message: "the queue of Desk is full",
	}
}

func (fullAdmitter) Release(admission.Release) {}

// catalog provides a fixed fleet configuration.
type catalog struct{ fleet *fleet.Fleet }

func (c catalog) Fleet() *fleet.Fleet { return c.fleet }

func (catalog) Available(string) bool { return true }

// validLease is an authority whose lease never expires.
type validLease struct{}

func (validLease) Check() error { return nil }

func Example() {
	config, err := fleet.Parse([]byte(`{
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
		Admitter: fullAdmitter{}, Catalog: catalog{config}, Authority: validLease{},
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
