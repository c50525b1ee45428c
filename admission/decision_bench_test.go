package admission

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/common/rendezvous"
	"comfreytiller.dev/route"
)

const (
	totalChats    = 4_200_000
	totalServices = 22
)

// BenchmarkDecision measures one permit from request to release, and the choice among
// candidates alone. The baseline sorts all targets by rendezvous hashing.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{18, 910} {
		b.Run(fmt.Sprintf("warm-%d", targets), func(b *testing.B) { benchmarkPermit(b, targets, 1000) })
		b.Run(fmt.Sprintf("new-%d", targets), func(b *testing.B) { benchmarkPermit(b, targets, 0) })
		b.Run(fmt.Sprintf("choose-%d", targets), func(b *testing.B) { benchmarkChoose(b, targets) })
		b.Run(fmt.Sprintf("baseline-%d", targets), func(b *testing.B) { benchmarkRank(b, targets) })
	}
	b.Run("memory", benchmarkMemory)
}

// benchmarkPermit requests permits for chats with a known location, or only for new
// chats if remembered is 0.
func benchmarkPermit(b *testing.B, targets, remembered int) {
	c := newWarmController(targets, WithChatLimits(max(remembered, 1), time.Hour))
	requests := make([]Request, 4096)
	for i := range requests {
		requests[i] = newRequest("r"+strconv.Itoa(i), "")
	}
	for i := range remembered {
		c.locations.RecordUse(start, chat.KeyOf("c"+strconv.Itoa(i)), c.targets[i%targets].instance, false)
	}
	names := make([]string, 1<<16)
	for i := range names {
		names[i] = "c" + strconv.Itoa(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := requests[i%len(requests)]
		r.ID = names[i%len(names)] + "-" + r.ID
		r.Chat = names[i%len(names)]
		if remembered > 0 {
			r.Chat = names[i%remembered]
		}
		c.Acquire(start, r)
		effects := c.TakeEffects()
		c.Release(start, doneRelease(*effects[0].Permit))
	}
}

func benchmarkChoose(b *testing.B, targets int) {
	c := newWarmController(targets)
	query := route.Query{WarmTargets: [2]int{route.None, route.None}, Bound: 8, Choices: rendezvousChoices}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		query.Chat = uint64(i) + 1
		if route.Choose(&query, c.candidates).Target == route.None {
			b.Fatal("no choice")
		}
	}
}

// benchmarkRank is the baseline: all names sorted by rendezvous hashing.
func benchmarkRank(b *testing.B, targets int) {
	names := make([]string, targets)
	for i := range names {
		names[i] = "e" + strconv.Itoa(i)
	}
	b.ReportAllocs()
	for i := range b.N {
		rendezvous.Rank(strconv.Itoa(i), names)
	}
}

// benchmarkMemory fills the location maps of 22 services with 4.2 million chats.
func benchmarkMemory(b *testing.B) {
	for range b.N {
		before := heapInUse()
		memories := make([]*chat.LocationMap, totalServices)
		for i := range memories {
			memories[i] = chat.NewLocationMap(totalChats/totalServices+1, time.Hour)
			for t := range 41 {
				memories[i].Open("e"+strconv.Itoa(t), 1, 0)
			}
		}
		for i := range totalChats {
			memories[i%totalServices].RecordUse(start, chat.Key(uint64(i)*0x9e3779b97f4a7c15+1), chat.InstanceID(1+i/totalServices%41), false)
		}
		bytes := float64(heapInUse() - before)
		total := 0
		for _, memory := range memories {
			total += memory.Len()
		}
		b.ReportMetric(bytes/float64(total), "bytes/chat")
		b.ReportMetric(float64(total), "chats")
		b.ReportMetric(bytes/(1<<20), "MB")
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
