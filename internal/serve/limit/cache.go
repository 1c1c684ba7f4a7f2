package limit

import "sync"

// accountCounterCache holds the counters of each account, which are made at its
// first use.
type accountCounterCache struct {
	mu sync.RWMutex
	m  map[string]accountCounters
}

func (n *accountCounterCache) get(c *counters, account string) accountCounters {
	n.mu.RLock()
	found, ok := n.m[account]
	n.mu.RUnlock()
	if ok {
		return found
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if found, ok = n.m[account]; ok {
		return found
	}
	if n.m == nil {
		n.m = map[string]accountCounters{}
	}
	n.m[account] = c.create(account)
	return n.m[account]
}
