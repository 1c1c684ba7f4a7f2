package holder

import (
	"context"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
)

const (
	// namePrefix followed by the name of the VM is the application name of a
	// holder's connections.
	namePrefix = "sycamoredoor/"
	// takeoverWait is how long a successor waits for the lock before it checks
	// whether the VM that has it is still a member.
	takeoverWait = clock.Second
)

// lockKey returns the key of the advisory lock that the holder of a server
// keeps on it.
func lockKey(server string) uint32 { return uint32(xxhash.Sum64String("sycamoredoor/" + server)) }

// lock waits until it has acquired the lock of the server. It returns false
// when the connection fails or the context ends.
func (h *Holder) lock(ctx context.Context, c *backend.Conn) bool {
	query := fmt.Sprintf("SELECT pg_try_advisory_lock(%d)", lockKey(h.options.Server.Name))
	since := h.options.Clock.Now()
	for ctx.Err() == nil {
		rows, err := c.Query(controlOwner, query)
		if err != nil {
			return false
		}
		if firstValue(rows) == "t" {
			return true
		}
		if h.options.Clock.Now()-since >= takeoverWait {
			if err := h.evictDeadHolder(c); err != nil {
				return false
			}
		}
		_ = h.options.Clock.Sleep(ctx, retryInterval)
	}
	return false
}

// evictDeadHolder terminates the connections of the VM that has the lock if it
// is no longer a member. If an earlier control connection of this VM has the
// lock, it terminates only that one, since the VM's current connections have the
// same application name. The server rolls back the transactions that were open
// on the terminated connections.
func (h *Holder) evictDeadHolder(c *backend.Conn) error {
	rows, err := c.Query(controlOwner, lockOwnerQuery(h.options.Server.Name))
	pid := firstValue(rows)
	if err != nil || pid == "" {
		return err
	}
	rows, err = c.Query(controlOwner, "SELECT application_name FROM pg_stat_activity WHERE pid = "+pid)
	if err != nil {
		return err
	}
	name := firstValue(rows)
	vm, isHolder := strings.CutPrefix(name, namePrefix)
	if isHolder && vm == h.options.VM {
		// An earlier process or this one opened the connection.
		_, err = c.Query(controlOwner, "SELECT pg_terminate_backend("+pid+")")
		return err
	}
	if !isHolder || h.options.AliveFunc == nil || h.options.AliveFunc(vm) {
		return nil
	}
	quoted := "'" + strings.ReplaceAll(name, "'", "''") + "'"
	_, err = c.Query(controlOwner, "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE application_name = "+quoted)
	return err
}

// firstValue returns the first value of an answer, or "" if there is none.
func firstValue(rows [][]string) string {
	if len(rows) == 0 || len(rows[0]) == 0 {
		return ""
	}
	return rows[0][0]
}
