package limit

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

const (
	// headroom is the rate of a part relative to its demand, while there is enough.
	headroom = 2
	// spread is the share of the burst that is divided by demand; the rest stays
	// free for statements that wait.
	spread = 0.75
	// coldShare is the share of the rate and the burst that a VM of unknown demand
	// is taken to want.
	coldShare = 0.125
	// least is a demand in statements per second that counts as none.
	least = 0.01
	// longest bounds the time that filling a bucket may take, in seconds.
	longest = 60
)

// demand returns what a report says of the demand. The estimate of a VM with
// statements that wait is behind, so its demand is taken to be more.
func (o Owner) demand(r Report) float64 {
	d := r.Demand
	if rate, _ := o.free(); r.Need > 0 && rate > 0 {
		d = max(d, coldShare*o.rate, r.Part.Rate)
	}
	d = min(d, o.rate)
	if d < least && r.Need == 0 {
		return 0
	}
	return d
}

// raise returns the wanted size of a part, as far as half of the free part or
// the least useful step allows, so that other VMs find something too.
func raise(held, wanted, free, step float64) float64 {
	if wanted <= held {
		return wanted
	}
	free = max(free, 0)
	return held + min(wanted-held, max(free/2, min(step, free)))
}

// move returns the tokens that go with a part: its share of the free tokens, and
// more for statements that wait, as far as they fit.
func (o Owner) move(r Report, moved, free float64) float64 {
	if free <= 0 {
		return 0
	}
	room := max(r.Part.Burst+moved-r.Part.Tokens, 0)
	share := max(o.tokens*moved/free, o.tokens+moved-free, r.Need-r.Part.Tokens)
	return max(min(share, room, o.tokens), 0)
}

// target returns the rate and burst that suit the demands. When there is less
// than two tokens of burst for each VM, nothing is divided: the free part keeps
// the rate, and VMs get single tokens for statements that wait.
func (o Owner) target(name string, r Report) (rate, burst float64) {
	sum, active := 0.0, 0.0
	for _, c := range o.records {
		if c.demand > 0 {
			sum += c.demand
			active++
		}
	}
	c, _ := o.record(name)
	own := c.demand
	switch {
	case own == 0:
		return 0, 0
	case o.burst < 2*active && active > 1:
		return 0, min(r.Need, float64(int(o.tokens+r.Part.Tokens)))
	}
	part := own / sum
	fair := spread * o.burst * part
	if r.Part.Burst == 0 {
		fair = min(fair, coldShare*o.burst)
	}
	return min(headroom*own, o.rate*part), max(1, fair, min(r.Need, o.tokens+r.Part.Tokens))
}

// wait returns for how long the account may be due more than the VM gets: tokens
// were lost, a VM that holds a part is silent, one that needs no more has not
// yet been asked to give some back, or all demands together are within the rate.
func (o Owner) wait(name string, now clock.Millis) clock.Millis {
	wait, offered := max(o.unsure-now, 0), 0.0
	own, _ := o.record(name)
	for _, r := range o.records {
		offered += r.offered
		if r.name == name {
			continue
		}
		if now-r.at > Period+2*Again {
			wait = max(wait, r.expires-now+o.recovery(r.burst))
		}
		if !r.short && own.short && r.rate+r.burst > 0 {
			wait = max(wait, Period+2*Again)
		}
	}
	if own.short && offered <= o.rate {
		wait = max(wait, Period+2*Again)
	}
	return wait
}

// recovery is the time in milliseconds for which the lack of tokens that were
// lost may show, while demand leaves some of the rate.
func (o Owner) recovery(tokens float64) clock.Millis {
	return Period + 2*o.filling(tokens)
}

// filling is the time in which the rate brings as many tokens, in milliseconds.
func (o Owner) filling(tokens float64) clock.Millis {
	return clock.Millis(min(tokens/o.rate, longest) * float64(clock.Second))
}
