package commands

import (
	"os"

	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

// backupMode lets only the operator read a backup.
const backupMode = 0o600

func backupCommand(*app) *command {
	var file string
	return &command{
		name:    "backup",
		about:   "Write the configuration, outages, pins and claims to a file.",
		example: "comfreytiller backup agence.backup --KeyFile key",
		setUp: func(sub *flaggy.Subcommand) {
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
		return remote(err)
	}
	if err := os.WriteFile(file, response.Backup, backupMode); err != nil {
		return fail(ExitFailed, "write %s: %v", file, err)
	}
	return a.say("%s holds %d bytes. A cluster restored from it is a new one.", file, len(response.Backup))
}
