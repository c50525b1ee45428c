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
	allChats = 4_200_000
	allModel = 22
)

// BenchmarkDecision measures one permit, from asking to release, and the
// ordering of candidates alone. The baseline sorts all by rendezvous hashing.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{18, 910} {
		b.Run(fmt.Sprintf("warm-%d", targets), func(b *testing.B) { benchmarkPermit(b, targets, 1000) })
		b.Run(fmt.Sprintf("new-%d", targets), func(b *testing.B) { benchmarkPermit(b, targets, 0) })
		b.Run(fmt.Sprintf("choose-%d", targets), func(b *testing.B) { benchmarkChoose(b, targets) })
		b.Run(fmt.Sprintf("baseline-%d", targets), func(b *testing.B) { benchmarkRank(b, targets) })
	}
	b.Run("memory", benchmarkMemory)
}

// benchmarkPermit asks for the chats that are remembered, or for chats that are
// all new if none is.
func benchmarkPermit(b *testing.B, targets, remembered int) {
	s := warmService(targets, WithChatLimits(max(remembered, 1), time.Hour))
	requests := make([]Request, 4096)
	for i := range requests {
		requests[i] = request("r"+strconv.Itoa(i), "")
	}
	for i := range remembered {
		s.memory.RecordUse(start, chat.KeyOf("c"+strconv.Itoa(i)), s.targets[i%targets].place, false)
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
		s.Acquire(start, r)
		effects := s.TakeEffects()
		s.Release(start, done(*effects[0].Permit))
	}
}

func benchmarkChoose(b *testing.B, targets int) {
	s := warmService(targets)
	query := route.Query{WarmTargets: [2]int{route.None, route.None}, Bound: 8, Choices: firstChoices}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		query.Chat = uint64(i) + 1
		if route.Choose(&query, s.candidates).Target == route.None {
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

// benchmarkMemory fills the memories of 22 services with 4.2 million chats.
func benchmarkMemory(b *testing.B) {
	for range b.N {
		before := heapInUse()
		memories := make([]*chat.LocationMap, allModel)
		for i := range memories {
			memories[i] = chat.NewLocationMap(allChats/allModel+1, time.Hour)
			for t := range 41 {
				memories[i].Open("e"+strconv.Itoa(t), 1, 0)
			}
		}
		for i := range allChats {
			memories[i%allModel].RecordUse(start, chat.Key(uint64(i)*0x9e3779b97f4a7c15+1), chat.InstanceID(1+i/allModel%41), false)
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
