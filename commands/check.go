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
		about:   "Check a fleet text and show what it would change.",
		example: "comfreytiller check examples/agence.fleet.jsonc --Offline",
		setUp: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "The fleet text.")
			sub.Bool(&offline, "o", "Offline", "Ask no host.")
		},
		run: func(a *app) error { return a.check(file, offline) },
	}
}

// readText reads and checks a fleet text.
func readText(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fail(ExitUsage, "read %s: %v", file, err)
	}
	if _, err := fleet.Parse(text); err != nil {
		return nil, fail(ExitUsage, "%s:\n%v", file, err)
	}
	return text, nil
}

func (a *app) check(file string, offline bool) error {
	text, err := readText(file)
	if err != nil {
		return err
	}
	if offline {
		return a.say("%s is accepted.", file)
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	response, err := client.Check(ctx, &operatorpb.CheckRequest{Text: text})
	if err != nil {
		return remote(err)
	}
	if a.json {
		return a.printJSON(checked{Version: response.Version, Changes: response.Changes, Faults: response.Faults})
	}
	if len(response.Faults) > 0 {
		return fail(ExitUsage, "%s:\n%s", file, strings.Join(response.Faults, "\n"))
	}
	a.printf("%s is accepted. Against version %d it changes:\n", file, response.Version)
	a.printChanges(response.Changes)
	return nil
}

// checked is the JSON form of a check.
type checked struct {
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
