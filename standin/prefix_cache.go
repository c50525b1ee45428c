package standin

import "container/list"

// prefixCache is the LRU cache of chats whose context an engine has. A capacity of
// 0 sets no limit.
type prefixCache struct {
	capacity int
	lru      *list.List
	items    map[string]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{capacity: limit, lru: list.New(), items: map[string]*list.Element{}}
}

// contains reports whether the chat's context is cached.
func (c *prefixCache) contains(chat string) bool {
	_, ok := c.items[chat]
	return ok
}

// store marks a chat as most recently used and returns the chats evicted for it.
func (c *prefixCache) store(chat string) []string {
	if item, ok := c.items[chat]; ok {
		c.lru.MoveToFront(item)
		return nil
	}
	c.items[chat] = c.lru.PushFront(chat)
	var evicted []string
	for c.capacity > 0 && c.lru.Len() > c.capacity {
		last := c.lru.Back()
		name, _ := last.Value.(string)
		c.lru.Remove(last)
		delete(c.items, name)
		evicted = append(evicted, name)
	}
	return evicted
}

func (c *prefixCache) clear() {
	c.lru.Init()
	clear(c.items)
}

// usage returns the used fraction of the capacity, from 0 to 1; 0 without a limit.
func (c *prefixCache) usage() float64 {
	if c.capacity == 0 {
		return 0
	}
	return float64(c.lru.Len()) / float64(c.capacity)
}
