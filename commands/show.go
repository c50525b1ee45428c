package commands

import (
	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

func showCommand(*app) *command {
	return &command{
		name:    "show",
		about:   "Print the fleet text in force.",
		example: "comfreytiller show --KeyFile key > agence.fleet.jsonc",
		run:     (*app).show,
	}
}

// shown is the JSON form of a show.
type shown struct {
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
		return remote(err)
	}
	if a.json {
		return a.printJSON(shown{Version: response.Version, Text: string(response.Text)})
	}
	a.printf("// Version %d\n%s", response.Version, response.Text)
	return nil
}
