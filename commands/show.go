package commands

import (
	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

func showCommand(*app) *command {
	return &command{
		name:    "show",
		summary: "Print the active fleet configuration.",
		example: "comfreytiller show --KeyFile key > agence.fleet.jsonc",
		run:     (*app).show,
	}
}

// showResult is the JSON output of show.
type showResult struct {
	Version uint64
	Text    string
}

func (a *app) show() error {
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	response, err := client.Show(ctx, &operatorpb.ShowRequest{})
	if err != nil {
		return convertCallError(err)
	}
	if a.json {
		return a.printJSON(showResult{Version: response.Version, Text: string(response.Text)})
	}
	a.printf("// Version %d\n%s", response.Version, response.Text)
	return nil
}
