package chat

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/target"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// simple is a memory without any economy, to compare with.
type simple struct {
	used  map[Key]int
	place map[Key]InstanceID
}

// The memory of last places is that of a plain map with the least recently used
// chats removed, by capacity of the place and by count.
func TestMemoryIsLikeAPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, capacity := rapid.IntRange(2, 12).Draw(t, "limit"), rapid.IntRange(1, 6).Draw(t, "capacity")
		m := NewLocationMap(limit, time.Hour)
		plain := simple{map[Key]int{}, map[Key]InstanceID{}}
		places := []InstanceID{m.Open("a", 1, capacity), m.Open("b", 1, capacity), m.Open("c", 1, 0)}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := Key(rapid.IntRange(1, 20).Draw(t, "chat"))
			if _, known := plain.place[key]; known && len(plain.place) > 0 {
				// A chat that moves keeps a second place, which the plain map lacks.
				m.RecordUse(at(step), key, plain.place[key], false)
				plain.used[key] = step
				continue
			}
			place := rapid.SampledFrom(places).Draw(t, "place")
			if len(plain.place) >= limit {
				plain.drop(plain.oldest(func(InstanceID) bool { return true }))
			}
			m.RecordUse(at(step), key, place, false)
			plain.used[key], plain.place[key] = step, place
			if place != places[2] && plain.count(place) > capacity {
				plain.drop(plain.oldest(func(p InstanceID) bool { return p == place }))
			}
			require.Equal(t, len(plain.place), m.Len())
			for key := Key(1); key <= 20; key++ {
				require.Equal(t, plain.place[key], m.Find(key).Last, "chat %d", key)
			}
		}
	})
}

func (s *simple) drop(key Key) {
	delete(s.used, key)
	delete(s.place, key)
}

func (s *simple) count(at InstanceID) int {
	n := 0
	for _, place := range s.place {
		if place == at {
			n++
		}
	}
	return n
}

func (s *simple) oldest(match func(InstanceID) bool) Key {
	best := Key(0)
	for key, used := range s.used {
		if match(s.place[key]) && (best == 0 || used < s.used[best]) {
			best = key
		}
	}
	return best
}

// Random moves, closings, events and sweeps keep the lists and counts whole.
func TestCountsStayWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewLocationMap(15, 30*time.Second)
		incarnations, events := [3]uint64{1, 1, 1}, [3]uint64{}
		now := 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "target")
			name := fmt.Sprintf("e%d", i)
			chat := fmt.Sprintf("c%d", rapid.IntRange(0, 25).Draw(t, "chat"))
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				incarnations[i]++
				events[i] = 0
			case 1:
				m.Close(name)
			case 2:
				now += rapid.IntRange(1, 20).Draw(t, "seconds")
				m.Sweep(at(now), 5)
			case 3:
				events[i] += uint64(rapid.IntRange(1, 2).Draw(t, "gap"))
				change := rapid.SampledFrom([]target.CacheChange{target.CacheStored, target.CacheEvicted, target.CacheCleared}).Draw(t, "change")
				m.ApplyEvent(at(now), target.CacheEvent{Name: name, Stamp: target.Stamp{Incarnation: incarnations[i], Sequence: events[i]}, Change: change, Chats: []string{chat}})
			case 4:
				m.UndoUse(KeyOf(chat), m.InstanceOf(name))
			default:
				m.RecordUse(at(now), KeyOf(chat), m.Open(name, incarnations[i], 4), rapid.Bool().Draw(t, "out"))
			}
			m.checkWhole(t)
		}
	})
}

func (m *LocationMap) checkWhole(t require.TestingT) {
	total, seconds := 0, map[InstanceID]int{}
	for i := range m.places {
		count, newer := 0, uint32(0)
		for link := m.places[i].newest; link != 0; link = m.records.at(link - 1).older {
			r := m.records.at(link - 1)
			require.Equal(t, InstanceID(i), r.last)
			require.Equal(t, newer, r.newer)
			index, found := m.index.get(r.chat)
			require.True(t, found)
			require.Equal(t, link-1, index)
			newer = link
			count++
			seconds[r.second]++
		}
		require.Equal(t, newer, m.places[i].oldest)
		require.Equal(t, count, m.places[i].count)
		total += count
	}
	require.Equal(t, m.Len(), total)
	require.LessOrEqual(t, total, m.limit)
	for i := 1; i < len(m.places); i++ {
		require.Equal(t, seconds[InstanceID(i)], m.places[i].seconds)
	}
}

func event(sequence uint64, change target.CacheChange, chats ...string) target.CacheEvent {
	return target.CacheEvent{Name: "a", Stamp: target.Stamp{Incarnation: 1, Sequence: sequence}, Change: change, Chats: chats}
}

func TestCacheEventsCorrectTheMemory(t *testing.T) {
	m := NewLocationMap(10, time.Hour)
	a := m.Open("a", 1, 0)
	m.RecordUse(at(0), KeyOf("x"), a, false)
	m.RecordUse(at(0), KeyOf("y"), a, false)
	require.True(t, m.ApplyEvent(at(1), event(1, target.CacheEvicted, "x")))
	require.Equal(t, Location{Last: a}, m.Find(KeyOf("x")), "an eviction that may be late only makes it uncertain")
	m.ApplyEvent(at(2), event(2, target.CacheStored, "x"))
	require.True(t, m.Find(KeyOf("x")).Certain)
	m.ApplyEvent(at(10), event(3, target.CacheEvicted, "x"))
	require.Equal(t, NoInstance, m.Find(KeyOf("x")).Last)
	m.ApplyEvent(at(10), event(4, target.CacheStored, "x"))
	require.Equal(t, a, m.Find(KeyOf("x")).Last)
	m.ApplyEvent(at(11), event(6, target.CacheStored, "z"))
	require.Equal(t, Location{Last: a}, m.Find(KeyOf("y")), "after a gap the place stays preferred but is uncertain")
	m.ApplyEvent(at(11), event(5, target.CacheEvicted, "y"))
	require.Equal(t, a, m.Find(KeyOf("y")).Last, "a late event is dropped")
	m.ApplyEvent(at(12), event(7, target.CacheStored, "y"))
	require.True(t, m.Find(KeyOf("y")).Certain)
	m.RecordUse(at(12), KeyOf("x"), a, false)
	require.True(t, m.Find(KeyOf("x")).Certain)
	m.ApplyEvent(at(13), event(8, target.CacheCleared))
	require.Equal(t, NoInstance, m.Find(KeyOf("y")).Last)
	require.False(t, m.ApplyEvent(at(13), target.CacheEvent{Name: "a", Stamp: target.Stamp{Incarnation: 2, Sequence: 1}}))
	require.False(t, m.ApplyEvent(at(13), target.CacheEvent{Name: "b"}))
}

func TestNewIncarnationForgetsAndSameOneDoesNot(t *testing.T) {
	m := NewLocationMap(10, time.Hour)
	m.RecordUse(at(0), KeyOf("x"), m.Open("a", 1, 0), false)
	require.Equal(t, m.Open("a", 1, 0), m.Find(KeyOf("x")).Last)
	m.Open("a", 2, 0)
	require.Equal(t, NoInstance, m.Find(KeyOf("x")).Last)
	require.Equal(t, NoInstance, m.Open("a", 1, 0))

	full := NewLocationMap(2, time.Hour)
	full.RecordUse(at(0), KeyOf("old"), full.Open("b", 1, 0), false)
	full.RecordUse(at(1), KeyOf("lost"), full.Open("a", 1, 0), false)
	full.Close("a")
	full.RecordUse(at(2), KeyOf("new"), full.Open("b", 1, 0), false)
	require.NotEqual(t, NoInstance, full.Find(KeyOf("old")).Last, "what is lost goes before what is old")
}

func TestDisplacedChatKnowsItsHome(t *testing.T) {
	m := NewLocationMap(10, time.Hour)
	a, b, c := m.Open("a", 1, 0), m.Open("b", 1, 0), m.Open("c", 1, 0)
	x := KeyOf("x")
	m.RecordUse(at(0), x, a, false)
	m.RecordUse(at(1), x, b, true)
	require.Equal(t, Location{Last: b, Second: a, Certain: true, Displaced: true}, m.Find(x))
	m.RecordUse(at(2), x, c, false)
	require.Equal(t, Location{Last: c, Second: a, Certain: true, Displaced: true}, m.Find(x), "the home stays")
	m.RecordUse(at(3), x, a, false)
	require.Equal(t, Location{Last: a, Second: c, Certain: true}, m.Find(x))
	m.UndoUse(x, a)
	require.Equal(t, c, m.Find(x).Last)
	m.Close("c")
	require.Equal(t, NoInstance, m.Find(x).Last)
}

func TestSweepForgetsByAge(t *testing.T) {
	m := NewLocationMap(10, time.Minute)
	a := m.Open("a", 1, 0)
	m.RecordUse(at(0), 1, a, false)
	m.RecordUse(at(50), 2, a, false)
	m.Sweep(at(70), 10)
	require.Equal(t, 1, m.Len())
	require.Equal(t, a, m.Find(2).Last)
}

func TestPlaceNumbersAreUsedAgain(t *testing.T) {
	m := NewLocationMap(100, time.Hour)
	for i := range 3 * maxPlaces {
		place := m.Open("a", uint64(i+1), 0)
		require.NotEqual(t, NoInstance, place)
		m.RecordUse(at(i), Key(i%7+1), place, true)
	}
	require.LessOrEqual(t, len(m.places), maxPlaces+1)
	m.checkWhole(t)
}

// What changed comes in bounded batches, and with them another memory knows the
// same.
func TestBatchesCopyTheMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, backup, full := NewLocationMap(100, time.Hour), NewLocationMap(100, time.Hour), NewLocationMap(100, time.Hour)
		places := []InstanceID{m.Open("a", 1, 0), m.Open("b", 1, 0), m.Open("c", 1, 0)}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			chat := Key(rapid.IntRange(1, 15).Draw(t, "chat"))
			m.RecordUse(at(step), chat, rapid.SampledFrom(places).Draw(t, "place"), rapid.Bool().Draw(t, "out"))
			if rapid.Bool().Draw(t, "copy") {
				batch := m.TakeChanges(at(step), 3)
				require.LessOrEqual(t, len(batch.Entries), 3)
				backup.Merge(at(step), batch)
			}
		}
		for batch := m.TakeChanges(at(50), 3); len(batch.Entries) > 0; batch = m.TakeChanges(at(50), 3) {
			backup.Merge(at(50), batch)
		}
		full.Merge(at(50), m.All(at(50)))
		for chat := Key(1); chat <= 15; chat++ {
			require.Equal(t, m.named(chat), backup.named(chat))
			require.Equal(t, m.named(chat), full.named(chat))
		}
	})
}

func TestOlderBatchDoesNotReplaceNewerKnowledge(t *testing.T) {
	m := NewLocationMap(10, time.Hour)
	a, b := m.Open("a", 1, 0), m.Open("b", 1, 0)
	m.RecordUse(at(0), 1, b, false)
	m.RecordUse(at(0), 2, b, false)
	batch := m.All(at(9))
	m.RecordUse(at(5), 1, a, false)
	m.Merge(at(9), batch)
	require.Equal(t, a, m.Find(1).Last)
	require.Equal(t, b, m.Find(2).Last)
}

func (m *LocationMap) named(chat Key) [3]any {
	known := m.Find(chat)
	return [3]any{m.places[known.Last].target, m.places[known.Second].target, known.Displaced}
}
