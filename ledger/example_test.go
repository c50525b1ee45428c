package ledger_test

import (
	"fmt"
	"os"

	"comfreytiller.dev/ledger"
)

func Example() {
	dir, err := os.MkdirTemp("", "ledger-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	log, err := ledger.Open(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	err = log.Append([]byte("term 1"), []uint64{1, 2}, [][]byte{[]byte("one"), []byte("two")})
	fmt.Println(err, log.Close())

	// Acknowledged records are available after a restart.
	log, err = ledger.Open(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = log.Close() }()
	state, _, _, indexes, records, err := log.Load()
	fmt.Println(string(state), indexes, string(records[1]), err)
	// Output:
	// <nil> <nil>
	// term 1 [1 2] two <nil>
}
