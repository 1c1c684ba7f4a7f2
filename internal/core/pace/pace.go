// Package pace decides when bytes may enter a slow link: never faster than its
// rate and burst, in weighted fair order by client account, and control messages
// first within a small share of their own. A Pacer changes with each message, so
// it is changed in place instead of being an immutable value; it does no I/O and
// is told the time.
package pace

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/fair"
)

const (
	// controlShare is the part of the link that control messages may take first.
	controlShare = 0.05
	// controlAccount is the line of control messages beyond that share; no client
	// account has an empty name.
	controlAccount = ""
	// maxWaiting is the number of pieces of one client account that may wait.
	maxWaiting = 1 << 16
)

// Link is the size of a link.
type Link struct {
	// Rate is in bytes a second.
	Rate float64
	// Burst is what may enter at once after a pause, in bytes; no piece is larger.
	Burst float64
}

// Piece is one run of bytes that waits for the link.
type Piece struct {
	// Account is the client account that the bytes belong to.
	Account string
	// Weight is the account's share relative to others.
	Weight int
	// Size is in bytes, at most the burst of the link.
	Size int
	// Control marks a message between VMs that belongs to no client account.
	Control bool
	// Value is the caller's own.
	Value any

	item *fair.Item
}

// Pacer orders the pieces that wait for one link. See New.
type Pacer struct {
	link          bucket
	controlBucket bucket
	priority      []*Piece
	queue         *fair.Queue
	// head was taken from the queue and waits for enough tokens.
	head *Piece
}

// New returns a pacer whose link is unused.
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

// Push adds a piece and reports false when its account has too many waiting.
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

// Remove takes back a piece that was not handed out.
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
	for i, o := range list {
		if o == piece {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// Next hands out the next piece that may enter the link now. When there is none
// it returns nil and how long to wait before the next call; 0 means that nothing
// waits.
func (p *Pacer) Next(now clock.Millis) (*Piece, clock.Millis) {
	next := p.peek()
	if next == nil {
		return nil, 0
	}
	size := float64(next.Size)
	if !p.link.take(size, now) {
		return nil, p.link.wait(size)
	}
	if next == p.head {
		p.head = nil
	} else {
		p.priority = p.priority[1:]
	}
	return next, 0
}

// peek returns the piece whose turn it is and leaves it where it is.
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
