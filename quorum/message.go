package quorum

// Message travels between two replicas.
type Message struct {
	From string
	To   string
	Term uint64
}
