package commands

import (
	"os"

	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

// backupMode makes a backup readable only by its owner.
const backupMode = 0o600

func backupCommand(*app) *command {
	var file string
	return &command{
		name:    "backup",
		summary: "Write the configuration, outages, pins and claims to a file.",
		example: "comfreytiller backup agence.backup --KeyFile key",
		addArguments: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&file, "FILE", 1, true, "The file to write.")
		},
		run: func(a *app) error { return a.backup(file) },
	}
}

func (a *app) backup(file string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	response, err := client.Backup(ctx, &operatorpb.BackupRequest{})
	if err != nil {
		return convertCallError(err)
	}
	if err := os.WriteFile(file, response.Backup, backupMode); err != nil {
		return exitErrorf(ExitFailed, "write %s: %v", file, err)
	}
	return a.printMessage("%s: wrote %d bytes. Restoring from this backup creates a new cluster.", file, len(response.Backup))
}
