// Package chat remembers on which target each chat's context is warm.
//
// A Memory holds one small record a chat: the hash of the chat's name, the
// place (a target and its incarnation) where it ran last, a second place where
// its context may still be, and the time of its last use. The records of one
// place form a list in the order of use, so that a target's limited prefix
// memory is respected: the oldest chats beyond it are no longer believed warm.
// Cache events correct the memory. They come late and with gaps, so a gap
// leaves the place preferred but marks what is known of it as uncertain.
//
// # Usage
//
//	memory := chat.NewLocationMap(200_000, time.Hour)
//	place := memory.Open("engine-3", 7, 5_000)
//	memory.Use(now, chat.KeyOf("dossier-17"), place, false)
//	known := memory.Find(chat.KeyOf("dossier-17"))
//	fmt.Println(known.Last.Target, known.Last.Certain)
package chat
