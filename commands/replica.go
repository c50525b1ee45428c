package commands

import (
	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

func replicaCommand(*app) *command {
	var change, id, replica string
	return &command{
		name:    "replica",
		summary: "Add, remove or replace a state replica.",
		example: "comfreytiller replica replace --Id Agence/rabat-a-1 --Replica 127.0.0.1:7084 --KeyFile key",
		addArguments: func(sub *flaggy.Subcommand) {
			sub.AddPositionalValue(&change, "CHANGE", 1, true, "add, remove or replace.")
			sub.String(&id, "i", "Id", "The replica to remove or replace, as status shows it.")
			sub.String(&replica, "r", "Replica", "Peer IP:port of the host with the new replica.")
		},
		run: func(a *app) error { return a.changeReplica(change, id, replica) },
	}
}

func (a *app) changeReplica(change, id, replica string) error {
	request := &operatorpb.ReplicaRequest{Id: id, Address: replica}
	switch change {
	case "add":
		request.Change = "Add"
	case "remove":
		request.Change = "Remove"
	case "replace":
		request.Change = "Replace"
	default:
		return exitErrorf(ExitUsage, "unknown change %q; must be add, remove or replace", change)
	}
	if request.Change != "Add" && id == "" {
		return exitErrorf(ExitUsage, "--Id is missing; it identifies the replica to %s", change)
	}
	if request.Change != "Remove" && replica == "" {
		return exitErrorf(ExitUsage, "--Replica is missing; it is the peer address of the host with the new replica")
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	const replicaWait = 2 * defaultWait * 6
	ctx, cancel := a.callContext(replicaWait)
	defer cancel()
	response, err := client.ChangeReplica(ctx, request)
	if err != nil {
		return convertCallError(err)
	}
	return a.printMessage("%s", response.Message)
}
