// Package chat tracks on which target each chat's context is warm.
//
// A LocationMap holds one small record per chat: the hash of the chat's name, the
// instance (one incarnation of one target) where it ran last, a second instance that
// may still hold its context, and the time of its last use. The records of one
// instance form a list in order of use. It is cut to the number of chats that the
// target's prefix cache holds: older chats are no longer considered warm there.
// Cache events correct the records. They arrive late and with gaps, so a gap leaves
// an instance preferred but marks its records as uncertain.
//
// # Usage
//
//	locations := chat.NewLocationMap(200_000, time.Hour)
//	instance := locations.Open("engine-3", 7, 5_000)
//	locations.RecordUse(now, chat.KeyOf("dossier-17"), instance, false)
//	location := locations.Find(chat.KeyOf("dossier-17"))
//	fmt.Println(location.Last == instance, location.Certain)
package chat
