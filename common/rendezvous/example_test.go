package rendezvous_test

import (
	"fmt"

	"comfreytiller.dev/common/rendezvous"
)

func Example() {
	hosts := []string{"entry-1", "entry-2", "entry-3"}
	owner := rendezvous.First("Treasury", hosts)
	ranked := rendezvous.Rank("Treasury", hosts)
	fmt.Println(owner == ranked[0])

	// Removing the last name keeps the order of the others.
	fewer := rendezvous.Rank("Treasury", ranked[:2])
	fmt.Println(fewer[0] == ranked[0], fewer[1] == ranked[1])
	// Output:
	// true
	// true true
}
