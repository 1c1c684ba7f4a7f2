package limit

import "sync"

// accountCounterCache holds the counters of each account, which are made at its
// first use.
type accountCounterCache struct {
	mu        sync.RWMutex
	byAccount map[string]accountCounters
}

func (n *accountCounterCache) get(c *counters, account string) accountCounters {
	n.mu.RLock()
	found, ok := n.byAccount[account]
	n.mu.RUnlock()
	if ok {
		return found
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if found, ok = n.byAccount[account]; ok {
		return found
	}
	if n.byAccount == nil {
		n.byAccount = map[string]accountCounters{}
	}
	n.byAccount[account] = c.create(account)
	return n.byAccount[account]
}
