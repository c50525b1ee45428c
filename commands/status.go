package commands

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

func statusCommand(*app) *command {
	return &command{
		name:    "status",
		summary: "Show hosts, services, targets, state replicas and outages.",
		example: "comfreytiller status --KeyFile key",
		run:     (*app).status,
	}
}

func (a *app) status() error {
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	response, err := client.Status(ctx, &operatorpb.StatusRequest{})
	if err != nil {
		return convertCallError(err)
	}
	if a.json {
		return a.printJSON(newFleetStatus(response))
	}
	a.printStatus(response)
	return nil
}

func (a *app) printStatus(s *operatorpb.StatusResponse) {
	a.printf("Fleet version %d\n", s.Version)
	if len(s.DomainsOut) > 0 {
		a.printf("Failure domains out: %s\n", strings.Join(s.DomainsOut, ", "))
	}
	if len(s.TargetsOut) > 0 {
		a.printf("Targets out: %s\n", strings.Join(s.TargetsOut, ", "))
	}
	table := tabwriter.NewWriter(a.Out, 0, 4, 2, ' ', 0)
	row := func(columns ...any) {
		for _, column := range columns {
			_, _ = fmt.Fprintf(table, "%v\t", column)
		}
		_, _ = fmt.Fprintln(table)
	}
	row("HOST", "DOMAIN", "PEERS", "SESSION")
	for _, host := range s.Hosts {
		row(host.Name, host.FailureDomain, host.PeerAddress, host.Session)
	}
	row("SERVICE", "OWNER", "BACKUP", "SERVING", "QUEUED", "PROBLEM")
	for _, service := range s.Services {
		row(service.Name, service.Owner, service.Backup, service.Serving, service.Queued, service.Problem)
	}
	row("TARGET", "SERVICE", "DOMAIN", "STATE", "IN FLIGHT", "LIMIT", "WAITS")
	for _, service := range s.Services {
		for _, t := range service.Targets {
			row(t.Name, t.Service, t.FailureDomain, t.State, t.InFlight, t.Limit, t.Reason)
		}
	}
	row("REPLICA", "HOST", "ADDRESS", "VOTER", "LEADER", "MATCH")
	for _, replica := range s.Replicas {
		row(replica.Id, replica.Host, replica.Address, replica.Voter, replica.Leader, replica.Match)
	}
	for _, order := range s.Orders {
		row("ORDER "+order.Id, order.Target, order.Kind, order.Service, order.State, order.Reason)
	}
	// An error is ignored as for all other output: it means that standard output is
	// closed.
	_ = table.Flush()
	for _, alarm := range s.Alarms {
		a.printf("ALARM %s\n", alarm)
	}
}
