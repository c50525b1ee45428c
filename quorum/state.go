package quorum

import "github.com/go-faster/errors"

// HardState is the state of a replica that must survive a restart.
type HardState struct {
	// Cluster is the cluster ID; empty until the first message from a leader.
	Cluster string
	// ID is the replica ID, generated when the storage is first written.
	ID string
	// Host is the name of the host that wrote the storage.
	Host string
	Term uint64
	// Vote is the ID of the candidate that received the vote in Term.
	Vote string
	// Commit is a lower bound of the commit index, CommitTerm the term of the entry at it;
	// 0 if unknown. Commit holds only for a log with that entry: the entries that were
	// written together with it may be missing after a crash.
	Commit     uint64
	CommitTerm uint64
}

// mustSave reports whether the state differs from the durable one, so that it
// must be written before it is used. The commit index alone needs no write.
func (s HardState) mustSave(durable HardState) bool {
	s.Commit, s.CommitTerm = durable.Commit, durable.CommitTerm
	return s != durable
}

// Snapshot is the state of the state machine after all entries up to Index were
// applied.
type Snapshot struct {
	Index uint64
	// Term is the term of the entry at Index.
	Term uint64
	// Members is the membership at Index.
	Members []Member
	Data    []byte
}

// Index and term of the first snapshot of a new cluster.
const (
	firstIndex = 1
	firstTerm  = 1
)

// Bootstrap writes the initial state of a new cluster to an empty storage. Each
// of the initial members is bootstrapped once, with the same cluster ID and
// members, whose IDs are generated with NewID; a host finds its own member by
// its name. A host whose disk was lost must not be bootstrapped again: it
// starts with an empty storage and is added. Bootstrap returns
// ErrStorageNotEmpty if the storage already has an ID.
func Bootstrap(storage Storage, cluster, host string, members []Member) error {
	return BootstrapFromState(storage, cluster, host, members, nil)
}

// BootstrapFromState is Bootstrap with an initial state of the state machine,
// for a cluster that is restored from a backup. The cluster ID must be a new
// one.
func BootstrapFromState(storage Storage, cluster, host string, members []Member, state []byte) error {
	old, _, _, err := storage.Load()
	if err != nil {
		return errors.Wrap(err, "load storage")
	}
	if old.ID != "" {
		return errors.Wrapf(ErrStorageNotEmpty, "replica %s of host %s", old.ID, old.Host)
	}
	id := ""
	for _, m := range members {
		if m.Host == host {
			id = m.ID
		}
	}
	if id == "" || cluster == "" {
		return errors.Wrapf(ErrUnknownMember, "bootstrap host %q in cluster %q", host, cluster)
	}
	first := Snapshot{Index: firstIndex, Term: firstTerm, Members: sortedMembers(members), Data: state}
	if err := storage.SaveSnapshot(first); err != nil {
		return errors.Wrap(err, "save the initial snapshot")
	}
	identity := HardState{Cluster: cluster, ID: id, Host: host, Term: firstTerm, Commit: firstIndex, CommitTerm: firstTerm}
	return wrapf(storage.Save(identity, nil), "save the identity")
}

// loadOrCreateIdentity loads the storage and writes a new ID to an empty one, in which case
// created is set. It returns ErrCorrupt with ErrBootstrapIncomplete, ErrHostMismatch and ErrClusterMismatch.
func loadOrCreateIdentity(storage Storage, cluster, host string) (state HardState, snapshot Snapshot, entries []Entry, created bool, err error) {
	state, snapshot, entries, err = storage.Load()
	if err != nil {
		return state, snapshot, entries, false, errors.Wrap(err, "load storage")
	}
	if state.ID == "" && (snapshot.Index > firstIndex || len(entries) > 0) {
		return state, snapshot, entries, false, errors.Wrapf(ErrCorrupt, "log with a snapshot at index %d and %d entries, without an identity", snapshot.Index, len(entries))
	}
	if state.ID == "" && snapshot.Index > 0 {
		return state, snapshot, entries, false, errors.Wrapf(errors.Join(ErrCorrupt, ErrBootstrapIncomplete), "snapshot at index %d without an identity", snapshot.Index)
	}
	if state.ID == "" {
		state = HardState{Cluster: cluster, ID: NewID(), Host: host}
		return state, Snapshot{}, nil, true, wrapf(storage.Save(state, nil), "save a new identity")
	}
	if state.Host != host {
		return state, snapshot, entries, false, errors.Wrapf(ErrHostMismatch, "written by host %q, started on host %q", state.Host, host)
	}
	if cluster != "" && state.Cluster != "" && state.Cluster != cluster {
		return state, snapshot, entries, false, errors.Wrapf(ErrClusterMismatch, "written for cluster %q, started for cluster %q", state.Cluster, cluster)
	}
	return state, snapshot, entries, false, nil
}
