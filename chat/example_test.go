package chat_test

import (
	"fmt"
	"time"

	"comfreytiller.dev/chat"
)

func Example() {
	now := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	locations := chat.NewLocationMap(1000, time.Hour)
	instance := locations.Open("engine-3", 1, 100)
	locations.RecordUse(now, chat.KeyOf("dossier-17"), instance, false)

	location := locations.Find(chat.KeyOf("dossier-17"))
	fmt.Println(location.Last == instance, locations.CountAt(instance), locations.Len())
	// Output: true 1 1
}
