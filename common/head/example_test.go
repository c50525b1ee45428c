package head_test

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"comfreytiller.dev/common/head"
)

func ExamplePeek() {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
	} {
		checked, err := head.Peek(bufio.NewReader(strings.NewReader(response)))
		fmt.Println(checked.Status, errors.Is(err, head.ErrMalformed))
	}
	// Output:
	// 200 false
	// 0 true
}
