package quorum

import "sync"

// Storage persists a replica's state. Its methods are called from one
// goroutine.
type Storage interface {
	// Save writes the state and the entries, which are durable when it returns.
	// The entries replace any stored ones from the index of the first one on.
	Save(state HardState, entries []Entry) error
	// SaveSnapshot writes the snapshot and drops the entries up to its index.
	// If the stored entry at that index has another term, the later entries are
	// dropped as well.
	SaveSnapshot(snapshot Snapshot) error
	// Load returns the saved data; an empty storage returns zero values.
	Load() (HardState, Snapshot, []Entry, error)
}

// MemoryStorage is a Storage in memory, for tests and experiments.
type MemoryStorage struct {
	mu         sync.Mutex
	state      HardState
	snapshot   Snapshot
	entries    []Entry
	writeError error
}

// FailWrites makes the following writes fail with the error; nil ends the
// failure.
func (s *MemoryStorage) FailWrites(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeError = err
}

// Save implements Storage.
func (s *MemoryStorage) Save(state HardState, entries []Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeError != nil {
		return s.writeError
	}
	s.state = state
	if len(entries) > 0 {
		s.truncate(entries[0].Index)
		s.entries = append(s.entries, entries...)
	}
	return nil
}

// SaveSnapshot implements Storage.
func (s *MemoryStorage) SaveSnapshot(snapshot Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeError != nil {
		return s.writeError
	}
	s.snapshot = snapshot
	for i, e := range s.entries {
		if e.Index == snapshot.Index && e.Term == snapshot.Term {
			s.entries = append([]Entry(nil), s.entries[i+1:]...)
			return nil
		}
	}
	s.entries = nil
	return nil
}

// Load implements Storage.
func (s *MemoryStorage) Load() (HardState, Snapshot, []Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.snapshot, append([]Entry(nil), s.entries...), nil
}

// truncate drops the entry at the index and all later ones.
func (s *MemoryStorage) truncate(index uint64) {
	for i, e := range s.entries {
		if e.Index >= index {
			s.entries = s.entries[:i:i]
			return
		}
	}
}
