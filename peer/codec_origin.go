package peer

import (
	"math"
	"time"

	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/peer/peerpb"
)

// originsToWire groups the records by version, and sends the time that is left instead of a
// timestamp, since the clocks of hosts differ.
func originsToWire(records []origin.Record, now time.Time) []*peerpb.OriginGroup {
	var groups []*peerpb.OriginGroup
	byVersion := map[string]*peerpb.OriginGroup{}
	for _, record := range records {
		remaining := record.Until.Sub(now).Milliseconds()
		if remaining <= 0 {
			continue
		}
		group := byVersion[record.Version]
		if group == nil {
			group = &peerpb.OriginGroup{Version: record.Version}
			byVersion[record.Version] = group
			groups = append(groups, group)
		}
		group.Keys = append(group.Keys, uint64(record.Key))
		group.Remaining = append(group.Remaining, uint32(min(remaining, math.MaxUint32)))
	}
	return groups
}

// originsFromWire ignores keys without a remaining time.
func originsFromWire(groups []*peerpb.OriginGroup, now time.Time) []origin.Record {
	var records []origin.Record
	for _, group := range groups {
		for i := range min(len(group.GetKeys()), len(group.GetRemaining())) {
			records = append(records, origin.Record{
				Key: origin.Key(group.Keys[i]), Version: group.Version,
				Until: now.Add(time.Duration(group.Remaining[i]) * time.Millisecond),
			})
		}
	}
	return records
}
