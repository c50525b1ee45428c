package standin

import "container/list"

// prefixCache holds the chats whose context is in an engine's prefix memory,
// the one used last first.
type prefixCache struct {
	limit int
	order *list.List
	items map[string]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), items: map[string]*list.Element{}}
}

// has reports whether the chat's context is held.
func (c *prefixCache) has(chat string) bool {
	_, ok := c.items[chat]
	return ok
}

// store puts a chat first and returns the chats evicted for it.
func (c *prefixCache) store(chat string) []string {
	if item, ok := c.items[chat]; ok {
		c.order.MoveToFront(item)
		return nil
	}
	c.items[chat] = c.order.PushFront(chat)
	var evicted []string
	for c.limit > 0 && c.order.Len() > c.limit {
		last := c.order.Back()
		name, _ := last.Value.(string)
		c.order.Remove(last)
		delete(c.items, name)
		evicted = append(evicted, name)
	}
	return evicted
}

func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.items)
}

func (c *prefixCache) used() float64 {
	if c.limit == 0 {
		return 0
	}
	return float64(c.order.Len()) / float64(c.limit)
}
