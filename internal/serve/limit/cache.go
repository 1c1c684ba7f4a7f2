package limit

import "sync"

// accountCounterCache holds the counters of each account, which are created at
// its first use.
type accountCounterCache struct {
	mu        sync.RWMutex
	byAccount map[string]accountCounters
}

// get returns the counters of an account, which c creates if necessary.
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
