package quorum

import "github.com/go-faster/errors"

// HardState is what a replica must not forget over a restart.
type HardState struct {
	// Cluster is the cluster's ID; empty until the first leader's message.
	Cluster string
	// ID is the replica's ID, made when its disk was first written.
	ID string
	// Host is the name of the host that wrote the disk.
	Host string
	Term uint64
	// Vote is the candidate that has the vote in Term.
	Vote string
	// CommitIndex is a lower bound of the commit index.
	Commit uint64
}

// mustSave tells whether the state may not be used before it is durable.
func (s HardState) mustSave(saved HardState) bool {
	s.Commit = saved.Commit
	return s != saved
}

// SnapshotIndex is the machine's state with everything up to Index applied.
type Snapshot struct {
	Index uint64
	// Term is the term of the entry at Index.
	Term uint64
	// Members is the membership at Index.
	Members []Member
	Data    []byte
}

// The first snapshot of a new cluster has this index and term.
const (
	firstIndex = 1
	firstTerm  = 1
)

// Bootstrap writes the first state of a new cluster to an empty storage. Each of
// the first members is bootstrapped once with the same cluster ID and members,
// whose IDs are made with NewID; its own member is the one with the host's name.
// A host whose disk is lost is not bootstrapped again: it starts empty and is
// added. Bootstrap returns ErrStorageNotEmpty if the storage has an identity.
func Bootstrap(storage Storage, cluster, host string, members []Member) error {
	return BootstrapFromState(storage, cluster, host, members, nil)
}

// BootstrapFromState is Bootstrap with a machine's state, for a cluster that is
// restored from a backup. The cluster ID must be a new one.
func BootstrapFromState(storage Storage, cluster, host string, members []Member, state []byte) error {
	old, _, _, err := storage.Load()
	if err != nil {
		return errors.Wrap(err, "load the storage")
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
		return errors.Wrapf(ErrUnknownMember, "bootstrap of host %q in cluster %q", host, cluster)
	}
	first := Snapshot{Index: firstIndex, Term: firstTerm, Members: sortedMembers(members), Data: state}
	if err := storage.SaveSnapshot(first); err != nil {
		return errors.Wrap(err, "save the first snapshot")
	}
	identity := HardState{Cluster: cluster, ID: id, Host: host, Term: firstTerm, Commit: firstIndex}
	return wrapf(storage.Save(identity, nil), "save the identity")
}

// identify loads the storage and gives an empty one a fresh identity.
func identify(storage Storage, cluster, host string) (HardState, Snapshot, []Entry, error) {
	state, snapshot, entries, err := storage.Load()
	if err != nil {
		return state, snapshot, entries, errors.Wrap(err, "load the storage")
	}
	if state.ID == "" && snapshot.Index > 0 {
		return state, snapshot, entries, errors.Wrap(ErrCorrupt, "a bootstrap was cut short; bootstrap again")
	}
	if state.ID == "" {
		state = HardState{Cluster: cluster, ID: NewID(), Host: host}
		return state, Snapshot{}, nil, wrapf(storage.Save(state, nil), "save a fresh identity")
	}
	if state.Host != host {
		return state, snapshot, entries, errors.Wrapf(ErrHostMismatch, "written by host %q, started on %q", state.Host, host)
	}
	if cluster != "" && state.Cluster != "" && state.Cluster != cluster {
		return state, snapshot, entries, errors.Wrapf(ErrClusterMismatch, "written for %q, started for %q", state.Cluster, cluster)
	}
	return state, snapshot, entries, nil
}
