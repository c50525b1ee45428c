package commands

import (
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

func applyCommand(*app) *command {
	var file, operationID string
	var force bool
	base := -1
	return &command{
		name:    "apply",
		summary: "Activate a fleet configuration.",
		example: "comfreytiller apply agence.fleet.jsonc --Base 3 --KeyFile key",
		addArguments: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "The fleet configuration.")
			sub.Int(&base, "b", "Base", "Version that the configuration is based on; default is the active version.")
			sub.Bool(&force, "f", "Force", "Accept a configuration that removes a service in use.")
			sub.String(&operationID, "o", "Operation", "ID of the operation, for a retry after a lost response.")
		},
		run: func(a *app) error { return a.apply(file, operationID, base, force) },
	}
}

// applyResult is the JSON output of apply.
type applyResult struct {
	Operation string
	Outcome   string
	Version   uint64
	Changes   []string
	Faults    []string
	Lagging   []string
}

func (a *app) apply(file, operationID string, base int, force bool) error {
	configuration, err := readConfiguration(file)
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	if operationID == "" {
		operationID = newOperationID()
	}
	ctx, cancel := a.callContext(a.wait)
	defer cancel()
	if base < 0 {
		active, err := client.Show(ctx, &operatorpb.ShowRequest{})
		if err != nil {
			return convertCallError(err)
		}
		base = int(active.Version)
	}
	response, err := client.Apply(ctx, &operatorpb.ApplyRequest{
		Operation: operationID,
		Base:      uint64(base),
		Text:      configuration,
		Force:     force,
		Wait:      int64(a.wait),
	})
	if err != nil {
		return a.withRetryHint(err, fmt.Sprintf("--Operation %s --Base %d", operationID, base))
	}
	return a.reportApply(operationID, response)
}

func (a *app) reportApply(operationID string, response *operatorpb.ApplyResponse) error {
	if a.json {
		err := a.printJSON(applyResult{
			Operation: operationID,
			Outcome:   response.Outcome,
			Version:   response.Version,
			Changes:   response.Changes,
			Faults:    response.Faults,
			Lagging:   response.Lagging,
		})
		if err != nil {
			return err
		}
	}
	switch response.Outcome {
	case "OK":
	case "Conflict":
		if !a.json {
			a.printf("Version %d was accepted first. Your configuration differs from it by:\n", response.Version)
			a.printChanges(response.Changes)
		}
		return exitErrorf(ExitConflict, "the base version is not the active version")
	default:
		return exitErrorf(ExitFailed, "%s: %s", response.Outcome, strings.Join(response.Faults, "\n"))
	}
	if !a.json {
		a.printf("Version %d is accepted:\n", response.Version)
		a.printChanges(response.Changes)
	}
	return a.reportLagging(response.Lagging)
}

// reportLagging returns an error if some hosts have not applied a change yet.
func (a *app) reportLagging(lagging []string) error {
	if len(lagging) > 0 {
		return exitErrorf(ExitLagging, "accepted, but not yet active on %s", strings.Join(lagging, ", "))
	}
	if !a.json {
		a.printf("It is active on every host.\n")
	}
	return nil
}
