// Package pace decides when bytes may enter a slow link: never faster than its
// rate and burst allow, in weighted fair order by client account, and control
// messages first within a small share of their own. A Pacer changes with each
// message, so it is modified in place instead of being an immutable value. It does
// no I/O; the time is passed in.
package pace

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/fair"
)

const (
	// controlShare is the share of the link's rate and burst within which control
	// messages go first.
	controlShare = 0.05
	// controlAccount is the account under which control messages beyond that share
	// are queued; no client account has an empty name.
	controlAccount = ""
	// maxWaiting is the most pieces of one client account that may wait.
	maxWaiting = 1 << 16
)

// Link is the bandwidth of a link.
type Link struct {
	// Rate is in bytes per second.
	Rate float64
	// Burst is how many bytes may enter at once after a pause. No piece may be larger:
	// it would wait forever.
	Burst float64
}

// Piece is a piece of a message that waits for the link.
type Piece struct {
	// Account is the client account that the bytes belong to.
	Account string
	// Weight is the account's share relative to other accounts; below 1 counts as 1.
	Weight int
	// Size is in bytes, at most the burst of the link.
	Size int
	// Control marks a message between VMs that belongs to no client account.
	Control bool
	// Value belongs to the caller; the pacer does not use it.
	Value any

	item *fair.Item
}

// Pacer orders the pieces that wait for one link. The zero value is not usable; see
// New. It must not be used by several goroutines at once.
type Pacer struct {
	link          bucket
	controlBucket bucket
	// priority holds the control pieces for which controlBucket had tokens; they go
	// before those in the queue.
	priority []*Piece
	queue    *fair.Queue
	// head is the piece taken from the queue that waits for enough tokens.
	head *Piece
}

// New returns a pacer for a link that has its whole burst left.
func New(l Link, now clock.Millis) *Pacer {
	return &Pacer{
		link:          newBucket(l.Rate, l.Burst, now),
		controlBucket: newBucket(controlShare*l.Rate, controlShare*l.Burst, now),
		queue:         fair.New(maxWaiting),
	}
}

// Len returns the number of pieces that wait.
func (p *Pacer) Len() int {
	n := len(p.priority) + p.queue.Len()
	if p.head != nil {
		n++
	}
	return n
}

// Push adds a piece, and reports false when too many of its account wait.
func (p *Pacer) Push(piece *Piece, now clock.Millis) bool {
	if piece.Control && p.controlBucket.take(float64(piece.Size), now) {
		p.priority = append(p.priority, piece)
		return true
	}
	account := piece.Account
	if piece.Control {
		account = controlAccount
	}
	piece.item = &fair.Item{Account: account, Weight: piece.Weight, Cost: float64(piece.Size), Value: piece}
	return p.queue.Push(piece.item)
}

// Remove removes a piece that Next has not returned. The piece then takes no tokens of
// the link.
func (p *Pacer) Remove(piece *Piece) {
	switch {
	case p.head == piece:
		p.head = nil
	case piece.item != nil:
		p.queue.Remove(piece.item)
	default:
		p.priority = removePiece(p.priority, piece)
	}
}

func removePiece(list []*Piece, piece *Piece) []*Piece {
	for i, other := range list {
		if other == piece {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// Next removes and returns the next piece if it may enter the link now. Otherwise
// it returns nil and the time to wait before the next call; 0 means that no piece
// waits.
func (p *Pacer) Next(now clock.Millis) (*Piece, clock.Millis) {
	next := p.peek()
	if next == nil {
		return nil, 0
	}
	size := float64(next.Size)
	if !p.link.take(size, now) {
		return nil, p.link.waitTime(size)
	}
	if next == p.head {
		p.head = nil
	} else {
		p.priority = p.priority[1:]
	}
	return next, 0
}

// peek returns the next piece without removing it, or nil when none waits.
func (p *Pacer) peek() *Piece {
	if len(p.priority) > 0 {
		return p.priority[0]
	}
	if p.head == nil {
		if it := p.queue.Pop(); it != nil {
			p.head = it.Value.(*Piece)
		}
	}
	return p.head
}
