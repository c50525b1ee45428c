package commands

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

// claimArguments select claims and hold an operator's decision on one.
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
		name:    "claims",
		summary: "List, show and settle the claims of requests that run at most once.",
		example: "comfreytiller claims list --State InDoubt --KeyFile key\n" +
			"  comfreytiller claims settle --Workspace Treasury --Service Treasury --Key order-7 --Ran No --Note \"not in the ledger\" --KeyFile key",
		addArguments: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&arguments.action, "ACTION", 1, true, "list, show or settle.")
			sub.String(&arguments.state, "s", "State", "Open, Done, InDoubt, Cancelled or Settled.")
			sub.String(&arguments.workspace, "p", "Workspace", "The workspace.")
			sub.String(&arguments.service, "v", "Service", "The service.")
			sub.String(&arguments.key, "i", "Key", "The idempotency key.")
			sub.String(&arguments.ran, "r", "Ran", "Yes or No: whether the request ran.")
			sub.String(&arguments.note, "n", "Note", "How the outcome was determined.")
			sub.String(&arguments.operation, "o", "Operation", "ID of the operation, for a retry after a lost response.")
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
			return exitErrorf(ExitUsage, "--Key is missing; it identifies the claim to show")
		}
		return a.listClaims(client, arguments)
	case "settle":
		return a.settleClaim(client, arguments)
	}
	return exitErrorf(ExitUsage, "unknown action %q; must be list, show or settle", arguments.action)
}

// claimRow is the JSON output of a claim and a row of the table.
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
		return convertCallError(err)
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
		return exitErrorf(ExitUsage, "--Workspace, --Service and --Key identify the claim to settle; at least one is missing")
	}
	if arguments.ran != "Yes" && arguments.ran != "No" {
		return exitErrorf(ExitUsage, "--Ran is %q; must be Yes or No", arguments.ran)
	}
	if arguments.operation == "" {
		arguments.operation = newOperationID()
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
		return a.withRetryHint(err, "--Operation "+arguments.operation)
	}
	return a.printMessage("Claim %s is %s.", arguments.key, response.State)
}
