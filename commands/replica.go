package commands

import (
	"github.com/integrii/flaggy"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

func replicaCommand(*app) *command {
	var change, id, replica string
	return &command{
		name:    "replica",
		about:   "Add, remove or replace a state replica.",
		example: "comfreytiller replica replace --Id Agence/rabat-a-1 --Replica 127.0.0.1:7084 --KeyFile key",
		setUp: func(sub *flaggy.Subcommand) {
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
		return fail(ExitUsage, "%q is no change; accepted are add, remove and replace", change)
	}
	if request.Change != "Add" && id == "" {
		return fail(ExitUsage, "--Id is missing; it names the replica to %s", change)
	}
	if request.Change != "Remove" && replica == "" {
		return fail(ExitUsage, "--Replica is missing; it names the host with the new replica")
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
		return remote(err)
	}
	return a.say("%s", response.Message)
}
