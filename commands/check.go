package commands

import (
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
	"comfreytiller.dev/fleet"
)

func checkCommand(*app) *command {
	var file string
	var offline bool
	return &command{
		name:    "check",
		summary: "Validate a fleet configuration and show what it would change.",
		example: "comfreytiller check examples/agence.fleet.jsonc --Offline",
		addArguments: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "The fleet configuration.")
			sub.Bool(&offline, "o", "Offline", "Validate without contacting a host.")
		},
		run: func(a *app) error { return a.check(file, offline) },
	}
}

// readConfiguration reads a fleet configuration from a file and validates it. Errors
// have the exit code ExitUsage.
func readConfiguration(file string) ([]byte, error) {
	configuration, err := os.ReadFile(file)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "read %s: %v", file, err)
	}
	if _, err := fleet.Parse(configuration); err != nil {
		return nil, exitErrorf(ExitUsage, "%s:\n%v", file, err)
	}
	return configuration, nil
}

func (a *app) check(file string, offline bool) error {
	configuration, err := readConfiguration(file)
	if err != nil {
		return err
	}
	if offline {
		return a.printMessage("%s is accepted.", file)
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	response, err := client.Check(ctx, &operatorpb.CheckRequest{Text: configuration})
	if err != nil {
		return convertCallError(err)
	}
	if a.json {
		return a.printJSON(checkResult{Version: response.Version, Changes: response.Changes, Faults: response.Faults})
	}
	if len(response.Faults) > 0 {
		return exitErrorf(ExitUsage, "%s:\n%s", file, strings.Join(response.Faults, "\n"))
	}
	a.printf("%s is accepted. Changes against version %d:\n", file, response.Version)
	a.printChanges(response.Changes)
	return nil
}

// checkResult is the JSON output of check.
type checkResult struct {
	Version uint64
	Changes []string
	Faults  []string
}

func (a *app) printChanges(changes []string) {
	if len(changes) == 0 {
		a.printf("  nothing\n")
	}
	for _, change := range changes {
		a.printf("  %s\n", change)
	}
}
