package limit

import "sync"

// accountNames finds the counters of an account.
type accountNames struct {
	mu sync.RWMutex
	m  map[string]accountCounters
}

func (n *accountNames) get(c *counters, account string) accountCounters {
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
	n.m[account] = c.make(account)
	return n.m[account]
}
