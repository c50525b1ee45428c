package commands

import (
	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

// outageArguments name what is taken out or brought back.
type outageArguments struct {
	domain    string
	target    string
	operation string
}

func (o *outageArguments) setUp(sub *flaggy.Subcommand) {
	sub.String(&o.domain, "d", "FailureDomain", "The failure domain.")
	sub.String(&o.target, "t", "Target", "The target.")
	sub.String(&o.operation, "o", "Operation", "Name of the operation, to send it again after a lost answer.")
}

func drainCommand(*app) *command {
	arguments := &outageArguments{}
	return &command{
		name:    "drain",
		about:   "Take a failure domain or a target out: it gets no new work.",
		example: "comfreytiller drain --FailureDomain Rabat-A --KeyFile key",
		setUp:   arguments.setUp,
		run:     func(a *app) error { return a.setOutage(arguments, true) },
	}
}

func restoreCommand(*app) *command {
	arguments := &outageArguments{}
	return &command{
		name:    "restore",
		about:   "Bring a failure domain or a target back.",
		example: "comfreytiller restore --FailureDomain Rabat-A --KeyFile key",
		setUp:   arguments.setUp,
		run:     func(a *app) error { return a.setOutage(arguments, false) },
	}
}

// outage is the JSON form of a drain or restore.
type outage struct {
	Operation string
	Version   uint64
	Lagging   []string
}

func (a *app) setOutage(arguments *outageArguments, out bool) error {
	if (arguments.domain == "") == (arguments.target == "") {
		return fail(ExitUsage, "name just one of --FailureDomain and --Target")
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	if arguments.operation == "" {
		arguments.operation = operation()
	}
	ctx, cancel := a.callContext(a.wait)
	defer cancel()
	response, err := client.SetOutage(ctx, &operatorpb.OutageRequest{
		Operation:     arguments.operation,
		FailureDomain: arguments.domain,
		Target:        arguments.target,
		Out:           out,
		Wait:          int64(a.wait),
	})
	if err != nil {
		return a.again(err, "--Operation "+arguments.operation)
	}
	if a.json {
		err := a.printJSON(outage{arguments.operation, response.Revision, response.Lagging})
		if err != nil {
			return err
		}
	}
	return a.reportLag(response.Lagging)
}
