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

func atSecond(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// lruModel is a plain map without the compact records, for comparison.
type lruModel struct {
	lastUsed map[Key]int
	instance map[Key]InstanceID
}

// The last instances must match a plain map from which the least recently used chats
// are removed, both by capacity of the instance and by total count.
func TestLocationMap_MatchesPlainLRU(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, capacity := rapid.IntRange(2, 12).Draw(t, "limit"), rapid.IntRange(1, 6).Draw(t, "capacity")
		m := NewLocationMap(limit, time.Hour)
		plain := lruModel{map[Key]int{}, map[Key]InstanceID{}}
		instances := []InstanceID{m.Open("a", 1, capacity), m.Open("b", 1, capacity), m.Open("c", 1, 0)}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := Key(rapid.IntRange(1, 20).Draw(t, "chat"))
			if _, known := plain.instance[key]; known && len(plain.instance) > 0 {
				// A chat that moves keeps a second instance, which lruModel does not
				// track.
				m.RecordUse(atSecond(step), key, plain.instance[key], false)
				plain.lastUsed[key] = step
				continue
			}
			instance := rapid.SampledFrom(instances).Draw(t, "place")
			if len(plain.instance) >= limit {
				plain.drop(plain.oldest(func(InstanceID) bool { return true }))
			}
			m.RecordUse(atSecond(step), key, instance, false)
			plain.lastUsed[key], plain.instance[key] = step, instance
			if instance != instances[2] && plain.count(instance) > capacity {
				plain.drop(plain.oldest(func(other InstanceID) bool { return other == instance }))
			}
			require.Equal(t, len(plain.instance), m.Len())
			for key := Key(1); key <= 20; key++ {
				require.Equal(t, plain.instance[key], m.Find(key).Last, "chat %d", key)
			}
		}
	})
}

func (l *lruModel) drop(key Key) {
	delete(l.lastUsed, key)
	delete(l.instance, key)
}

func (l *lruModel) count(id InstanceID) int {
	n := 0
	for _, instance := range l.instance {
		if instance == id {
			n++
		}
	}
	return n
}

func (l *lruModel) oldest(match func(InstanceID) bool) Key {
	best := Key(0)
	for key, used := range l.lastUsed {
		if match(l.instance[key]) && (best == 0 || used < l.lastUsed[best]) {
			best = key
		}
	}
	return best
}

// Random uses, closes, events and sweeps must keep the lists and counts consistent.
func TestLocationMap_InvariantsUnderRandomOperations(t *testing.T) {
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
				m.Sweep(atSecond(now), 5)
			case 3:
				events[i] += uint64(rapid.IntRange(1, 2).Draw(t, "gap"))
				change := rapid.SampledFrom([]target.CacheChange{target.CacheStored, target.CacheEvicted, target.CacheCleared}).Draw(t, "change")
				m.ApplyEvent(atSecond(now), target.CacheEvent{Name: name, Stamp: target.Stamp{Incarnation: incarnations[i], Sequence: events[i]}, Change: change, Chats: []string{chat}})
			case 4:
				m.UndoUse(KeyOf(chat), m.InstanceOf(name))
			default:
				m.RecordUse(atSecond(now), KeyOf(chat), m.Open(name, incarnations[i], 4), rapid.Bool().Draw(t, "out"))
			}
			m.checkInvariants(t)
		}
	})
}

func (m *LocationMap) checkInvariants(t require.TestingT) {
	total, secondaryCounts := 0, map[InstanceID]int{}
	for i := range m.instances {
		count, newer := 0, uint32(0)
		for link := m.instances[i].newest; link != 0; link = m.records.at(link - 1).older {
			r := m.records.at(link - 1)
			require.Equal(t, InstanceID(i), r.last)
			require.Equal(t, newer, r.newer)
			index, found := m.index.get(r.chat)
			require.True(t, found)
			require.Equal(t, link-1, index)
			newer = link
			count++
			secondaryCounts[r.second]++
		}
		require.Equal(t, newer, m.instances[i].oldest)
		require.Equal(t, count, m.instances[i].count)
		total += count
	}
	require.Equal(t, m.Len(), total)
	require.LessOrEqual(t, total, m.limit)
	for i := 1; i < len(m.instances); i++ {
		require.Equal(t, secondaryCounts[InstanceID(i)], m.instances[i].secondaryCount)
	}
}

func cacheEvent(sequence uint64, change target.CacheChange, chats ...string) target.CacheEvent {
	return target.CacheEvent{Name: "a", Stamp: target.Stamp{Incarnation: 1, Sequence: sequence}, Change: change, Chats: chats}
}

func TestApplyEvent_CorrectsLocations(t *testing.T) {
	m := NewLocationMap(10, time.Hour)
	a := m.Open("a", 1, 0)
	m.RecordUse(atSecond(0), KeyOf("x"), a, false)
	m.RecordUse(atSecond(0), KeyOf("y"), a, false)
	require.True(t, m.ApplyEvent(atSecond(1), cacheEvent(1, target.CacheEvicted, "x")))
	require.Equal(t, Location{Last: a}, m.Find(KeyOf("x")), "an eviction that may be late only makes the location uncertain")
	m.ApplyEvent(atSecond(2), cacheEvent(2, target.CacheStored, "x"))
	require.True(t, m.Find(KeyOf("x")).Certain)
	m.ApplyEvent(atSecond(10), cacheEvent(3, target.CacheEvicted, "x"))
	require.Equal(t, NoInstance, m.Find(KeyOf("x")).Last)
	m.ApplyEvent(atSecond(10), cacheEvent(4, target.CacheStored, "x"))
	require.Equal(t, a, m.Find(KeyOf("x")).Last)
	m.ApplyEvent(atSecond(11), cacheEvent(6, target.CacheStored, "z"))
	require.Equal(t, Location{Last: a}, m.Find(KeyOf("y")), "after a gap the location is kept but uncertain")
	m.ApplyEvent(atSecond(11), cacheEvent(5, target.CacheEvicted, "y"))
	require.Equal(t, a, m.Find(KeyOf("y")).Last, "an event that arrives out of order is dropped")
	m.ApplyEvent(atSecond(12), cacheEvent(7, target.CacheStored, "y"))
	require.True(t, m.Find(KeyOf("y")).Certain)
	m.RecordUse(atSecond(12), KeyOf("x"), a, false)
	require.True(t, m.Find(KeyOf("x")).Certain)
	m.ApplyEvent(atSecond(13), cacheEvent(8, target.CacheCleared))
	require.Equal(t, NoInstance, m.Find(KeyOf("y")).Last)
	require.False(t, m.ApplyEvent(atSecond(13), target.CacheEvent{Name: "a", Stamp: target.Stamp{Incarnation: 2, Sequence: 1}}))
	require.False(t, m.ApplyEvent(atSecond(13), target.CacheEvent{Name: "b"}))
}

func TestOpen_NewIncarnationDropsLocations(t *testing.T) {
	m := NewLocationMap(10, time.Hour)
	m.RecordUse(atSecond(0), KeyOf("x"), m.Open("a", 1, 0), false)
	require.Equal(t, m.Open("a", 1, 0), m.Find(KeyOf("x")).Last)
	m.Open("a", 2, 0)
	require.Equal(t, NoInstance, m.Find(KeyOf("x")).Last)
	require.Equal(t, NoInstance, m.Open("a", 1, 0))

	full := NewLocationMap(2, time.Hour)
	full.RecordUse(atSecond(0), KeyOf("old"), full.Open("b", 1, 0), false)
	full.RecordUse(atSecond(1), KeyOf("lost"), full.Open("a", 1, 0), false)
	full.Close("a")
	full.RecordUse(atSecond(2), KeyOf("new"), full.Open("b", 1, 0), false)
	require.NotEqual(t, NoInstance, full.Find(KeyOf("old")).Last, "records of a closed instance are evicted before older records")
}

func TestRecordUse_DisplacedChatKeepsSecondInstance(t *testing.T) {
	m := NewLocationMap(10, time.Hour)
	a, b, c := m.Open("a", 1, 0), m.Open("b", 1, 0), m.Open("c", 1, 0)
	x := KeyOf("x")
	m.RecordUse(atSecond(0), x, a, false)
	m.RecordUse(atSecond(1), x, b, true)
	require.Equal(t, Location{Last: b, Second: a, Certain: true, Displaced: true}, m.Find(x))
	m.RecordUse(atSecond(2), x, c, false)
	require.Equal(t, Location{Last: c, Second: a, Certain: true, Displaced: true}, m.Find(x), "the second instance is kept")
	m.RecordUse(atSecond(3), x, a, false)
	require.Equal(t, Location{Last: a, Second: c, Certain: true}, m.Find(x))
	m.UndoUse(x, a)
	require.Equal(t, c, m.Find(x).Last)
	m.Close("c")
	require.Equal(t, NoInstance, m.Find(x).Last)
}

func TestSweep_RemovesOldChats(t *testing.T) {
	m := NewLocationMap(10, time.Minute)
	a := m.Open("a", 1, 0)
	m.RecordUse(atSecond(0), 1, a, false)
	m.RecordUse(atSecond(50), 2, a, false)
	m.Sweep(atSecond(70), 10)
	require.Equal(t, 1, m.Len())
	require.Equal(t, a, m.Find(2).Last)
}

func TestOpen_ReusesInstanceIDs(t *testing.T) {
	m := NewLocationMap(100, time.Hour)
	for i := range 3 * maxInstances {
		instance := m.Open("a", uint64(i+1), 0)
		require.NotEqual(t, NoInstance, instance)
		m.RecordUse(atSecond(i), Key(i%7+1), instance, true)
	}
	require.LessOrEqual(t, len(m.instances), maxInstances+1)
	m.checkInvariants(t)
}

// Changes come in bounded batches, and merging them must reproduce the locations.
func TestMerge_BatchesReproduceLocations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, backup, full := NewLocationMap(100, time.Hour), NewLocationMap(100, time.Hour), NewLocationMap(100, time.Hour)
		instances := []InstanceID{m.Open("a", 1, 0), m.Open("b", 1, 0), m.Open("c", 1, 0)}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			chat := Key(rapid.IntRange(1, 15).Draw(t, "chat"))
			m.RecordUse(atSecond(step), chat, rapid.SampledFrom(instances).Draw(t, "place"), rapid.Bool().Draw(t, "out"))
			if rapid.Bool().Draw(t, "copy") {
				batch := m.TakeChanges(atSecond(step), 3)
				require.LessOrEqual(t, len(batch.Entries), 3)
				backup.Merge(atSecond(step), batch)
			}
		}
		for batch := m.TakeChanges(atSecond(50), 3); len(batch.Entries) > 0; batch = m.TakeChanges(atSecond(50), 3) {
			backup.Merge(atSecond(50), batch)
		}
		full.Merge(atSecond(50), m.All(atSecond(50)))
		for chat := Key(1); chat <= 15; chat++ {
			require.Equal(t, m.targetsOf(chat), backup.targetsOf(chat))
			require.Equal(t, m.targetsOf(chat), full.targetsOf(chat))
		}
	})
}

func TestMerge_OlderBatchKeepsNewerLocation(t *testing.T) {
	m := NewLocationMap(10, time.Hour)
	a, b := m.Open("a", 1, 0), m.Open("b", 1, 0)
	m.RecordUse(atSecond(0), 1, b, false)
	m.RecordUse(atSecond(0), 2, b, false)
	batch := m.All(atSecond(9))
	m.RecordUse(atSecond(5), 1, a, false)
	m.Merge(atSecond(9), batch)
	require.Equal(t, a, m.Find(1).Last)
	require.Equal(t, b, m.Find(2).Last)
}

func (m *LocationMap) targetsOf(chat Key) [3]any {
	location := m.Find(chat)
	return [3]any{m.instances[location.Last].target, m.instances[location.Second].target, location.Displaced}
}
