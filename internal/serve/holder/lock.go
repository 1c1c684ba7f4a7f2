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
	// namePrefix and the name of the VM make the application name of a holder's
	// connections.
	namePrefix = "sycamoredoor/"
	// takeoverWait is how long a successor waits for the lock before it looks
	// whether the VM that has it is gone.
	takeoverWait = clock.Second
)

// lockKey is the advisory lock that the holder of a server keeps on it.
func lockKey(server string) uint32 { return uint32(xxhash.Sum64String("sycamoredoor/" + server)) }

// lock waits for the lock of the server and reports whether it was got.
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

// evictDeadHolder ends the connections of the VM that has the lock if it is no member any
// more. The server rolls back what they ran.
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
	vm, ours := strings.CutPrefix(name, namePrefix)
	if ours && vm == h.options.VM {
		// An earlier process of this VM left it behind.
		_, err = c.Query(controlOwner, "SELECT pg_terminate_backend("+pid+")")
		return err
	}
	if !ours || h.options.AliveFunc == nil || h.options.AliveFunc(vm) {
		return nil
	}
	quoted := "'" + strings.ReplaceAll(name, "'", "''") + "'"
	_, err = c.Query(controlOwner, "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE application_name = "+quoted)
	return err
}

// firstValue returns the first value of an answer, or "".
func firstValue(rows [][]string) string {
	if len(rows) == 0 || len(rows[0]) == 0 {
		return ""
	}
	return rows[0][0]
}
