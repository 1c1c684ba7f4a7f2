package slowstart

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

// window is the time in which at most a share is sent, in milliseconds. It is longer than a
// second so that variable network delay does not bring more than a share to the server in one.
const window = clock.Second + 100*clock.Millis(1)

// Quota counts the statements to a cold server against the share of this VM. It is immutable.
type Quota struct {
	// reserved counts the statements that are granted and not sent yet.
	reserved int
	// sent holds the send times within the last window.
	sent []clock.Millis
}

// MaySend reports whether a statement fits into a share at time now.
func (q Quota) MaySend(share int, now clock.Millis) bool {
	return q.reserved+len(q.recent(now)) < share
}

// ExpectedWait returns the time in milliseconds until a statement with this many ahead of it may be
// sent, if all reserved ones are sent now. It returns false if there is no share.
func (q Quota) ExpectedWait(share, ahead int, now clock.Millis) (clock.Millis, bool) {
	if share <= 0 {
		return 0, false
	}
	recent := q.recent(now)
	// The statement is sent once all but share-1 of those ahead of it are older than the window.
	expired := len(recent) + q.reserved + ahead - (share - 1)
	if expired <= 0 {
		return 0, true
	}
	rounds := clock.Millis(0)
	for expired > len(recent) && expired > share {
		expired -= share
		rounds += window
	}
	if expired <= len(recent) {
		return rounds + recent[expired-1] + window - now, true
	}
	return rounds + window, true
}

// WithReserved counts a statement that is granted.
func (q Quota) WithReserved() Quota {
	q.reserved++
	return q
}

// WithReturned takes back the grant of a statement that is not sent.
func (q Quota) WithReturned() Quota {
	q.reserved = max(q.reserved-1, 0)
	return q
}

// WithSent records that a statement is sent at time now.
func (q Quota) WithSent(now clock.Millis) Quota {
	recent := q.recent(now)
	q.sent = append(recent[:len(recent):len(recent)], now)
	return q
}

// recent returns the send times within the window before now.
func (q Quota) recent(now clock.Millis) []clock.Millis {
	for i, at := range q.sent {
		if now-at < window {
			return q.sent[i:]
		}
	}
	return nil
}
