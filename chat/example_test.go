package chat_test

import (
	"fmt"
	"time"

	"comfreytiller.dev/chat"
)

func Example() {
	now := time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)
	memory := chat.NewLocationMap(1000, time.Hour)
	place := memory.Open("engine-3", 1, 100)
	memory.RecordUse(now, chat.KeyOf("dossier-17"), place, false)

	known := memory.Find(chat.KeyOf("dossier-17"))
	fmt.Println(known.Last == place, memory.CountAt(place), memory.Len())
	// Output: true 1 1
}
