package commands

import (
	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

// outageArguments identify the failure domain or target to drain or restore.
type outageArguments struct {
	domain    string
	target    string
	operation string
}

func (o *outageArguments) addFlags(sub *flaggy.Subcommand) {
	sub.String(&o.domain, "d", "FailureDomain", "The failure domain.")
	sub.String(&o.target, "t", "Target", "The target.")
	sub.String(&o.operation, "o", "Operation", "ID of the operation, for a retry after a lost response.")
}

func drainCommand(*app) *command {
	arguments := &outageArguments{}
	return &command{
		name:         "drain",
		summary:      "Drain a failure domain or a target: it gets no new requests.",
		example:      "comfreytiller drain --FailureDomain Rabat-A --KeyFile key",
		addArguments: arguments.addFlags,
		run:          func(a *app) error { return a.setOutage(arguments, true) },
	}
}

func restoreCommand(*app) *command {
	arguments := &outageArguments{}
	return &command{
		name:         "restore",
		summary:      "Restore a failure domain or a target after a drain.",
		example:      "comfreytiller restore --FailureDomain Rabat-A --KeyFile key",
		addArguments: arguments.addFlags,
		run:          func(a *app) error { return a.setOutage(arguments, false) },
	}
}

// outageResult is the JSON output of drain and restore.
type outageResult struct {
	Operation string
	Version   uint64
	Lagging   []string
}

func (a *app) setOutage(arguments *outageArguments, out bool) error {
	if (arguments.domain == "") == (arguments.target == "") {
		return exitErrorf(ExitUsage, "specify exactly one of --FailureDomain and --Target")
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	if arguments.operation == "" {
		arguments.operation = newOperationID()
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
		return a.withRetryHint(err, "--Operation "+arguments.operation)
	}
	if a.json {
		err := a.printJSON(outageResult{arguments.operation, response.Revision, response.Lagging})
		if err != nil {
			return err
		}
	}
	return a.reportLagging(response.Lagging)
}
