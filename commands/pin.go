package commands

import (
	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

func pinCommand(*app) *command {
	var target, service string
	return &command{
		name:    "pin",
		about:   "Bind a target to a service; without --Service, release it.",
		example: "comfreytiller pin --Target engine-3 --Service Dossiers --KeyFile key",
		setUp: func(sub *flaggy.Subcommand) {
			sub.String(&target, "t", "Target", "The target.")
			sub.String(&service, "s", "Service", "The service.")
		},
		run: func(a *app) error { return a.pin(target, service) },
	}
}

func (a *app) pin(target, service string) error {
	if target == "" {
		return fail(ExitUsage, "--Target is missing")
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	request := &operatorpb.PinRequest{Operation: operation(), Target: target, Service: service}
	if _, err := client.Pin(ctx, request); err != nil {
		return remote(err)
	}
	if service == "" {
		return a.say("%s is released.", target)
	}
	return a.say("%s is bound to %s.", target, service)
}
