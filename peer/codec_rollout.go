package peer

import (
	"comfreytiller.dev/admission/rollout"
	"comfreytiller.dev/peer/peerpb"
)

func rolloutsToWire(reports []rollout.ServiceReport) []*peerpb.RolloutCounts {
	var wire []*peerpb.RolloutCounts
	for i := range reports {
		report := &reports[i]
		counts := &peerpb.RolloutCounts{Service: report.Service, Number: report.Number, Requests: report.Requests, Exposed: report.Exposed}
		for j := range report.Routes {
			route := &report.Routes[j]
			counts.Routes = append(counts.Routes, &peerpb.RouteOutcomes{
				Route: route.Route, New: outcomesToWire(&route.New), Others: outcomesToWire(&route.Others),
			})
		}
		wire = append(wire, counts)
	}
	return wire
}

// outcomesToWire returns nil for no requests. It omits the empty buckets at both ends of the
// histogram.
func outcomesToWire(side *rollout.Side) *peerpb.Outcomes {
	if *side == (rollout.Side{}) {
		return nil
	}
	first, end := 0, len(side.FirstByte)
	for end > 0 && side.FirstByte[end-1] == 0 {
		end--
	}
	for first < end && side.FirstByte[first] == 0 {
		first++
	}
	return &peerpb.Outcomes{
		Responses: side.Responses, Failures: side.Failures, Lost: side.Lost, NotRun: side.NotRun,
		First: uint32(first), FirstByte: side.FirstByte[first:end],
	}
}

func rolloutsFromWire(wire []*peerpb.RolloutCounts) []rollout.ServiceReport {
	var reports []rollout.ServiceReport
	for _, counts := range wire {
		report := rollout.ServiceReport{Service: counts.Service, Number: counts.Number, Requests: counts.Requests, Exposed: counts.Exposed}
		for _, route := range counts.Routes {
			report.Routes = append(report.Routes, rollout.RouteReport{
				Route: route.Route, New: outcomesFromWire(route.New), Others: outcomesFromWire(route.Others),
			})
		}
		reports = append(reports, report)
	}
	return reports
}

// outcomesFromWire ignores buckets beyond those of the histogram.
func outcomesFromWire(wire *peerpb.Outcomes) rollout.Side {
	side := rollout.Side{Responses: wire.GetResponses(), Failures: wire.GetFailures(), Lost: wire.GetLost(), NotRun: wire.GetNotRun()}
	if first := int(wire.GetFirst()); first < len(side.FirstByte) {
		copy(side.FirstByte[first:], wire.GetFirstByte())
	}
	return side
}
