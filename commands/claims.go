package commands

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

// claimArguments name claims and an operator's verdict.
type claimArguments struct {
	action    string
	state     string
	workspace string
	service   string
	key       string
	ran       string
	note      string
	operation string
}

func claimsCommand(*app) *command {
	arguments := &claimArguments{}
	return &command{
		name:  "claims",
		about: "List, show and settle the claims of requests that run at most once.",
		example: "comfreytiller claims list --State InDoubt --KeyFile key\n" +
			"  comfreytiller claims settle --Workspace Treasury --Service Treasury --Key order-7 --Ran No --Note \"not in the ledger\" --KeyFile key",
		setUp: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&arguments.action, "ACTION", 1, true, "list, show or settle.")
			sub.String(&arguments.state, "s", "State", "Open, Done, InDoubt, Cancelled or Settled.")
			sub.String(&arguments.workspace, "p", "Workspace", "The workspace.")
			sub.String(&arguments.service, "v", "Service", "The service.")
			sub.String(&arguments.key, "i", "Key", "The idempotency key.")
			sub.String(&arguments.ran, "r", "Ran", "Yes or No: whether the request ran.")
			sub.String(&arguments.note, "n", "Note", "How it was found out.")
			sub.String(&arguments.operation, "o", "Operation", "Name of the operation, to send it again after a lost answer.")
		},
		run: func(a *app) error { return a.claims(arguments) },
	}
}

func (a *app) claims(arguments *claimArguments) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	switch arguments.action {
	case "list":
		return a.listClaims(client, arguments)
	case "show":
		if arguments.key == "" {
			return fail(ExitUsage, "--Key is missing; it names the claim to show")
		}
		return a.listClaims(client, arguments)
	case "settle":
		return a.settleClaim(client, arguments)
	}
	return fail(ExitUsage, "%q is no action; accepted are list, show and settle", arguments.action)
}

// claimRow is the JSON form of a claim.
type claimRow struct {
	Workspace string
	Service   string
	Key       string
	State     string
	Opened    time.Time
	Status    int32
	Note      string
}

func (a *app) listClaims(client operatorpb.Operators, arguments *claimArguments) error {
	ctx, cancel := a.callContext(0)
	defer cancel()
	response, err := client.ListClaims(ctx, &operatorpb.ListClaimsRequest{
		State:     arguments.state,
		Workspace: arguments.workspace,
		Service:   arguments.service,
		Key:       arguments.key,
	})
	if err != nil {
		return remote(err)
	}
	rows := make([]claimRow, 0, len(response.Claims))
	for _, c := range response.Claims {
		rows = append(rows, claimRow{c.Workspace, c.Service, c.Key, c.State, time.Unix(0, c.Opened).UTC(), c.Status, c.Note})
	}
	if a.json {
		return a.printJSON(rows)
	}
	table := tabwriter.NewWriter(a.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "WORKSPACE\tSERVICE\tKEY\tSTATE\tOPENED\tSTATUS\tNOTE")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
			r.Workspace, r.Service, r.Key, r.State, r.Opened.Format(time.RFC3339), r.Status, r.Note)
	}
	return table.Flush()
}

func (a *app) settleClaim(client operatorpb.Operators, arguments *claimArguments) error {
	if arguments.workspace == "" || arguments.service == "" || arguments.key == "" {
		return fail(ExitUsage, "--Workspace, --Service and --Key name the claim to settle; one is missing")
	}
	if arguments.ran != "Yes" && arguments.ran != "No" {
		return fail(ExitUsage, "--Ran is %q; accepted are Yes and No", arguments.ran)
	}
	if arguments.operation == "" {
		arguments.operation = operation()
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	response, err := client.SettleClaim(ctx, &operatorpb.SettleClaimRequest{
		Operation: arguments.operation,
		Workspace: arguments.workspace,
		Service:   arguments.service,
		Key:       arguments.key,
		Ran:       arguments.ran == "Yes",
		Note:      arguments.note,
	})
	if err != nil {
		return a.again(err, "--Operation "+arguments.operation)
	}
	return a.say("Claim %s is %s.", arguments.key, response.State)
}
