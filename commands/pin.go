package commands

import (
	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

func pinCommand(*app) *command {
	var target, service string
	return &command{
		name:    "pin",
		summary: "Pin a target to a service; without --Service, remove the pin.",
		example: "comfreytiller pin --Target engine-3 --Service Dossiers --KeyFile key",
		addArguments: func(sub *flaggy.Subcommand) {
			sub.String(&target, "t", "Target", "The target.")
			sub.String(&service, "s", "Service", "The service.")
		},
		run: func(a *app) error { return a.pin(target, service) },
	}
}

func (a *app) pin(target, service string) error {
	if target == "" {
		return exitErrorf(ExitUsage, "--Target is missing")
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	request := &operatorpb.PinRequest{Operation: newOperationID(), Target: target, Service: service}
	if _, err := client.Pin(ctx, request); err != nil {
		return convertCallError(err)
	}
	if service == "" {
		return a.printMessage("%s is no longer pinned.", target)
	}
	return a.printMessage("%s is pinned to %s.", target, service)
}
