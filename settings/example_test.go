package settings_test

import (
	"errors"
	"fmt"

	"comfreytiller.dev/common/jsonc"
	"comfreytiller.dev/settings"
)

func ExampleParse() {
	_, err := settings.Parse([]byte(`{"Host": "entry-1", "Callers": "localhost:8080"}`))
	fmt.Println(errors.Is(err, jsonc.ErrInvalid))
	// Output: true
}
