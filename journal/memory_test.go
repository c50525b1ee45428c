package journal_test

import (
	"io/fs"
	"maps"
	"slices"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"comfreytiller.dev/journal"
)

var errInjected = errors.New("injected failure")

// pageBytes is the unit in which the memory file system loses unsynced writes.
const pageBytes = 7

// inode is a file's bytes as programs see them and as they are on disk.
type inode struct {
	seen   []byte
	synced []byte
	// clean is set by a failed sync: the next one does not write the bytes.
	clean bool
}

// memory is a file system that loses what was not synced. Changes of the folder
// reach the disk in their order, at the latest with SyncDir.
type memory struct {
	seen    map[string]*inode
	synced  map[string]*inode
	pending []func(map[string]*inode)
	// capacity is the room for bytes; 0 for no bound.
	capacity int
	// calls counts the changing calls; the one numbered failAt and all later
	// ones fail, and a write among them is half done.
	calls, failAt int
	// failSync makes that many next syncs fail.
	failSync, syncs int
}

func newMemory() *memory {
	return &memory{seen: map[string]*inode{}, synced: map[string]*inode{}}
}

// step counts a changing call and reports whether it must fail.
func (m *memory) step() bool {
	m.calls++
	return m.failAt > 0 && m.calls >= m.failAt
}

func (m *memory) change(apply func(map[string]*inode)) error {
	if m.step() {
		return errInjected
	}
	apply(m.seen)
	m.pending = append(m.pending, apply)
	return nil
}

func (m *memory) Create(name string) (journal.File, error) {
	node := &inode{}
	err := m.change(func(names map[string]*inode) { names[name] = node })
	return &memoryFile{memory: m, inode: node}, err
}

func (m *memory) Open(name string) (journal.File, error) {
	node, ok := m.seen[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memoryFile{memory: m, inode: node}, nil
}

func (m *memory) ReadFile(name string) ([]byte, error) {
	node, ok := m.seen[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(node.seen), nil
}

func (m *memory) List(folder string) ([]string, error) {
	var names []string
	for name := range m.seen {
		names = append(names, strings.TrimPrefix(name, folder+"/"))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memory) Rename(from, to string) error {
	return m.change(func(names map[string]*inode) {
		names[to] = names[from]
		delete(names, from)
	})
}

func (m *memory) Remove(name string) error {
	return m.change(func(names map[string]*inode) { delete(names, name) })
}

func (m *memory) SyncDir(string) error {
	if m.step() {
		return errInjected
	}
	m.synced = maps.Clone(m.seen)
	m.pending = nil
	return nil
}

func (m *memory) used() int {
	total := 0
	for _, node := range m.seen {
		total += len(node.seen)
	}
	return total
}

// crash returns the file system as a machine finds it after losing power.
func (m *memory) crash(t *rapid.T) *memory {
	after := newMemory()
	names := maps.Clone(m.synced)
	for _, apply := range m.pending[:rapid.IntRange(0, len(m.pending)).Draw(t, "folder changes on disk")] {
		apply(names)
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		content := loseUnsynced(t, names[name])
		after.seen[name] = &inode{seen: content, synced: slices.Clone(content)}
	}
	after.synced = maps.Clone(after.seen)
	return after
}

// loseUnsynced keeps any subset of the pages that changed since the last sync,
// and any length between the old and the new.
func loseUnsynced(t *rapid.T, node *inode) []byte {
	low, high := min(len(node.synced), len(node.seen)), max(len(node.synced), len(node.seen))
	content := make([]byte, rapid.IntRange(low, high).Draw(t, "length on disk"))
	for start := 0; start < len(content); start += pageBytes {
		end := min(start+pageBytes, len(content))
		source := node.synced
		if rapid.Bool().Draw(t, "page on disk") {
			source = node.seen
		}
		if start < len(source) {
			copy(content[start:end], source[start:])
		}
	}
	return content
}

// memoryFile is an open file of a memory file system.
type memoryFile struct {
	memory *memory
	inode  *inode
}

func (f *memoryFile) WriteAt(data []byte, offset int64) (int, error) {
	failed := f.memory.step()
	cause := errInjected
	if failed {
		data = data[:len(data)/2]
	}
	grow := int(offset) + len(data) - len(f.inode.seen)
	if room := f.memory.capacity - f.memory.used(); f.memory.capacity > 0 && grow > room {
		data = data[:max(0, len(data)-(grow-max(0, room)))]
		failed, cause = true, syscall.ENOSPC
	}
	if end := int(offset) + len(data); end > len(f.inode.seen) {
		f.inode.seen = append(f.inode.seen, make([]byte, end-len(f.inode.seen))...)
	}
	copy(f.inode.seen[offset:], data)
	f.inode.clean = false
	if failed {
		return len(data), cause
	}
	return len(data), nil
}

func (f *memoryFile) Truncate(size int64) error {
	if f.memory.step() {
		return errInjected
	}
	f.inode.seen = f.inode.seen[:size:size]
	return nil
}

func (f *memoryFile) Sync() error {
	f.memory.syncs++
	if f.memory.step() {
		return errInjected
	}
	if f.memory.failSync > 0 {
		f.memory.failSync--
		f.inode.clean = true
		return errInjected
	}
	if f.inode.clean {
		return nil
	}
	f.inode.synced = slices.Clone(f.inode.seen)
	return nil
}

func (f *memoryFile) Close() error {
	return nil
}
