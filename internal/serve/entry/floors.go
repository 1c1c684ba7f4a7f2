package entry

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/core/choice"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/core/retry"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// raiseFloor raises the floor of a read in a named session to the position of the
// session's last write, whichever VM served that write. It retries until the
// deadline and then returns a refusal.
func (r *request) raiseFloor(ctx context.Context) error {
	if r.hint.Session == "" || r.route.Kind == document.KindWrite {
		return nil
	}
	pause := retry.InitialBackoff
	for {
		position, err := r.requestFloor(ctx)
		if err == nil {
			r.floor = r.floor.Max(position)
			return nil
		}
		if r.remaining() <= pause || r.session.entry.options.Clock.Sleep(ctx, pause) != nil {
			return outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "the floor of the session could not be learned: %v", err)
		}
		pause = min(2*pause, retry.MaxBackoff)
	}
}

// requestFloor requests the session's floor from the holder of the primary or, if
// the primary is unknown, of an untried server. On success r.tried is cleared, so
// that the request may run on every server. It is also cleared when no server is
// left, so that the next call tries them all again.
func (r *request) requestFloor(ctx context.Context) (floor.ReplicationPosition, error) {
	e := r.session.entry
	servers := e.serverCache.candidates(r.database)
	s, ok := findServer(r.database, choice.ForFloor(servers, r.tried))
	if !ok {
		clear(r.tried)
		return floor.ReplicationPosition{}, errors.New("no primary is known")
	}
	position, err := e.floorBatcher.requestFloor(ctx, s, r.database.Name, r.hint.Session)
	if err != nil {
		r.tried[s.Name] = true
		return position, err
	}
	clear(r.tried)
	return position, nil
}
