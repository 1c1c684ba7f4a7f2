package limit

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

const (
	// headroom is the rate of a part relative to its demand, while there is enough.
	headroom = 2
	// demandShare is the share of the burst that is divided by demand; the rest stays
	// free for statements that wait.
	demandShare = 0.75
	// initialShare is the share of the rate and the burst that a VM of unknown demand
	// is taken to want.
	initialShare = 0.125
	// minDemand is a demand in statements per second that counts as none.
	minDemand = 0.01
	// maxFillTime bounds the time that filling a bucket may take, in seconds.
	maxFillTime = 60
)

// demandOf returns what a report says of the demand. The estimate of a VM with
// statements that wait is behind, so its demand is taken to be more.
func (o Owner) demandOf(r Report) float64 {
	d := r.Demand
	if rate, _ := o.unassigned(); r.Waiting > 0 && rate > 0 {
		d = max(d, initialShare*o.rate, r.Part.Rate)
	}
	d = min(d, o.rate)
	if d < minDemand && r.Waiting == 0 {
		return 0
	}
	return d
}

// increased returns the wanted size of a part, as far as half of the free part or
// the least useful step allows, so that other VMs find something too.
func increased(held, wanted, free, step float64) float64 {
	if wanted <= held {
		return wanted
	}
	free = max(free, 0)
	return held + min(wanted-held, max(free/2, min(step, free)))
}

// movedTokens returns the tokens that go with a part: its share of the free tokens, and
// more for statements that wait, as far as they fit.
func (o Owner) movedTokens(r Report, moved, free float64) float64 {
	if free <= 0 {
		return 0
	}
	room := max(r.Part.Burst+moved-r.Part.Tokens, 0)
	share := max(o.tokens*moved/free, o.tokens+moved-free, r.Waiting-r.Part.Tokens)
	return max(min(share, room, o.tokens), 0)
}

// target returns the rate and burst that suit the demands. When there is less
// than two tokens of burst for each VM, nothing is divided: the free part keeps
// the rate, and VMs get single tokens for statements that wait.
func (o Owner) target(name string, r Report) (rate, burst float64) {
	sum, active := 0.0, 0.0
	for _, c := range o.holdings {
		if c.demand > 0 {
			sum += c.demand
			active++
		}
	}
	c, _ := o.holding(name)
	own := c.demand
	switch {
	case own == 0:
		return 0, 0
	case o.burst < 2*active && active > 1:
		return 0, min(r.Waiting, float64(int(o.tokens+r.Part.Tokens)))
	}
	share := own / sum
	fairBurst := demandShare * o.burst * share
	if r.Part.Burst == 0 {
		fairBurst = min(fairBurst, initialShare*o.burst)
	}
	return min(headroom*own, o.rate*share), max(1, fairBurst, min(r.Waiting, o.tokens+r.Part.Tokens))
}

// waitTime returns for how long the account may be due more than the VM gets: tokens
// were lost, a VM that holds a part is silent, one that needs no more has not
// yet been asked to give some back, or all demands together are within the rate.
func (o Owner) waitTime(name string, now clock.Millis) clock.Millis {
	wait, offered := max(o.uncertainUntil-now, 0), 0.0
	own, _ := o.holding(name)
	for _, r := range o.holdings {
		offered += r.measured
		if r.name == name {
			continue
		}
		if now-r.reported > ReportInterval+2*MinReportInterval {
			wait = max(wait, r.expires-now+o.recoveryTime(r.burst))
		}
		if !r.waiting && own.waiting && r.rate+r.burst > 0 {
			wait = max(wait, ReportInterval+2*MinReportInterval)
		}
	}
	if own.waiting && offered <= o.rate {
		wait = max(wait, ReportInterval+2*MinReportInterval)
	}
	return wait
}

// recoveryTime is the time in milliseconds for which the lack of tokens that were
// lost may show, while demand leaves some of the rate.
func (o Owner) recoveryTime(tokens float64) clock.Millis {
	return ReportInterval + 2*o.fillTime(tokens)
}

// fillTime is the time in which the rate brings as many tokens, in milliseconds.
func (o Owner) fillTime(tokens float64) clock.Millis {
	return clock.Millis(min(tokens/o.rate, maxFillTime) * float64(clock.Second))
}
