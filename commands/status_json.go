package commands

import (
	"comfreytiller.dev/comfreytiller/operator/operatorpb"
)

// The types of the JSON output of status. The keys are the field names.
type (
	fleetStatus struct {
		Version    uint64
		Revision   uint64
		DomainsOut []string
		TargetsOut []string
		Hosts      []hostStatus
		Services   []serviceStatus
		Replicas   []replicaStatus
		Orders     []orderStatus
		Alarms     []string
	}
	hostStatus struct {
		Name          string
		FailureDomain string
		PeerAddress   string
		Session       uint64
	}
	serviceStatus struct {
		Name    string
		Owner   string
		Backup  string
		Fence   uint64
		Serving bool
		Queued  int32
		Problem string
		Targets []targetStatus
	}
	targetStatus struct {
		Name          string
		FailureDomain string
		State         string
		InFlight      int32
		Limit         int32
		Waits         string
	}
	replicaStatus struct {
		ID      string
		Host    string
		Address string
		Voter   bool
		Leader  bool
		Match   uint64
	}
	orderStatus struct {
		ID      string
		Target  string
		Kind    string
		Service string
		State   string
		Reason  string
	}
)

func newFleetStatus(s *operatorpb.StatusResponse) fleetStatus {
	status := fleetStatus{
		Version:    s.Version,
		Revision:   s.Revision,
		DomainsOut: s.DomainsOut,
		TargetsOut: s.TargetsOut,
		Alarms:     s.Alarms,
	}
	for _, h := range s.Hosts {
		status.Hosts = append(status.Hosts, hostStatus{h.Name, h.FailureDomain, h.PeerAddress, h.Session})
	}
	for _, service := range s.Services {
		status.Services = append(status.Services, newServiceStatus(service))
	}
	for _, r := range s.Replicas {
		status.Replicas = append(status.Replicas, replicaStatus{r.Id, r.Host, r.Address, r.Voter, r.Leader, r.Match})
	}
	for _, o := range s.Orders {
		status.Orders = append(status.Orders, orderStatus{o.Id, o.Target, o.Kind, o.Service, o.State, o.Reason})
	}
	return status
}

func newServiceStatus(s *operatorpb.ServiceStatus) serviceStatus {
	status := serviceStatus{
		Name:    s.Name,
		Owner:   s.Owner,
		Backup:  s.Backup,
		Fence:   s.Fence,
		Serving: s.Serving,
		Queued:  s.Queued,
		Problem: s.Problem,
	}
	for _, t := range s.Targets {
		status.Targets = append(status.Targets, targetStatus{t.Name, t.FailureDomain, t.State, t.InFlight, t.Limit, t.Reason})
	}
	return status
}
