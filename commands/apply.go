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
		about:   "Make a fleet text the one in force.",
		example: "comfreytiller apply agence.fleet.jsonc --Base 3 --KeyFile key",
		setUp: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "The fleet text.")
			sub.Int(&base, "b", "Base", "Version that the text was made from; the one in force if absent.")
			sub.Bool(&force, "f", "Force", "Accept a text that removes a service in use.")
			sub.String(&operationID, "o", "Operation", "Name of the operation, to send it again after a lost answer.")
		},
		run: func(a *app) error { return a.apply(file, operationID, base, force) },
	}
}

// applied is the JSON form of an apply.
type applied struct {
	Operation string
	Outcome   string
	Version   uint64
	Changes   []string
	Faults    []string
	Lagging   []string
}

func (a *app) apply(file, operationID string, base int, force bool) error {
	text, err := readText(file)
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	if operationID == "" {
		operationID = operation()
	}
	ctx, cancel := a.callContext(a.wait)
	defer cancel()
	if base < 0 {
		shown, err := client.Show(ctx, &operatorpb.ShowRequest{})
		if err != nil {
			return remote(err)
		}
		base = int(shown.Version)
	}
	response, err := client.Apply(ctx, &operatorpb.ApplyRequest{
		Operation: operationID,
		Base:      uint64(base),
		Text:      text,
		Force:     force,
		Wait:      int64(a.wait),
	})
	if err != nil {
		return a.again(err, fmt.Sprintf("--Operation %s --Base %d", operationID, base))
	}
	return a.reportApply(operationID, response)
}

func (a *app) reportApply(operationID string, response *operatorpb.ApplyResponse) error {
	if a.json {
		err := a.printJSON(applied{
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
			a.printf("Version %d was accepted first. Your text differs from it by:\n", response.Version)
			a.printChanges(response.Changes)
		}
		return fail(ExitConflict, "the base is not the version in force")
	default:
		return fail(ExitFailed, "%s: %s", response.Outcome, strings.Join(response.Faults, "\n"))
	}
	if !a.json {
		a.printf("Version %d is accepted:\n", response.Version)
		a.printChanges(response.Changes)
	}
	return a.reportLag(response.Lagging)
}

// reportLag tells which hosts have not applied a change yet.
func (a *app) reportLag(lagging []string) error {
	if len(lagging) > 0 {
		return fail(ExitLagging, "accepted, but not yet in force on %s", strings.Join(lagging, ", "))
	}
	if !a.json {
		a.printf("It is in force on every host.\n")
	}
	return nil
}
