package limit

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

const (
	// headroom is the rate of a part relative to its demand, as far as the account's
	// rate allows.
	headroom = 2
	// demandShare is the share of the burst that is divided by demand; the rest is
	// left unassigned, for waiting statements.
	demandShare = 0.75
	// initialShare is the least share of the rate that a VM with waiting statements is
	// assumed to want, and the largest share of the burst that a VM without a part gets
	// by its demand.
	initialShare = 0.125
	// minDemand is the demand in statements per second below which it counts as zero.
	minDemand = 0.01
	// maxFillTime bounds the time that fillTime returns, in seconds.
	maxFillTime = 60
)

// demandOf returns the demand to assume for a report. A VM with waiting statements
// underestimates its demand, so a higher one is assumed while some rate is unassigned.
func (o Owner) demandOf(r Report) float64 {
	d := r.Demand
	if rate, _ := o.unassigned(); r.WaitingStatements > 0 && rate > 0 {
		d = max(d, initialShare*o.rate, r.Part.Rate)
	}
	d = min(d, o.rate)
	if d < minDemand && r.WaitingStatements == 0 {
		return 0
	}
	return d
}

// limitIncrease returns the rate or burst to grant to a VM that has held of it and
// should have wanted. An increase is at most half of what is unassigned, so that some is
// left for other VMs. Only an increase up to step, the least that is useful, may use all
// that is unassigned.
func limitIncrease(held, wanted, unassigned, step float64) float64 {
	if wanted <= held {
		return wanted
	}
	unassigned = max(unassigned, 0)
	return held + min(wanted-held, max(unassigned/2, min(step, unassigned)))
}

// movedTokens returns the tokens that move to a VM along with movedBurst: the same
// share of the unassigned tokens as of the unassigned burst. More move for waiting
// statements, or if the tokens left would not fit the burst left, but never more than
// fit the part.
func (o Owner) movedTokens(r Report, movedBurst, unassignedBurst float64) float64 {
	if unassignedBurst <= 0 {
		return 0
	}
	room := max(r.Part.Burst+movedBurst-r.Part.Tokens, 0)
	share := max(o.tokens*movedBurst/unassignedBurst, o.tokens+movedBurst-unassignedBurst, r.WaitingStatements-r.Part.Tokens)
	return max(min(share, room, o.tokens), 0)
}

// target returns the rate and burst that a VM should get by its demand. When there
// are fewer than two tokens of burst for each of several VMs with a demand, nothing is
// divided: the rate stays unassigned, and VMs get tokens only for waiting statements.
func (o Owner) target(name string, r Report) (rate, burst float64) {
	sum, active := 0.0, 0.0
	for _, h := range o.holdings {
		if h.demand > 0 {
			sum += h.demand
			active++
		}
	}
	h, _ := o.holding(name)
	own := h.demand
	switch {
	case own == 0:
		return 0, 0
	case o.burst < 2*active && active > 1:
		return 0, min(r.WaitingStatements, float64(int(o.tokens+r.Part.Tokens)))
	}
	share := own / sum
	fairBurst := demandShare * o.burst * share
	if r.Part.Burst == 0 {
		fairBurst = min(fairBurst, initialShare*o.burst)
	}
	return min(headroom*own, o.rate*share), max(1, fairBurst, min(r.WaitingStatements, o.tokens+r.Part.Tokens))
}

// waitTime returns how long, in milliseconds, the account may be entitled to more
// than the VM gets: tokens were lost, or another VM that holds a part does not report.
// While statements wait at the VM, there are two more reasons: a VM without waiting
// statements holds a part, some of which it can be asked to return at its next report, or
// the sum of all demands is within the rate.
func (o Owner) waitTime(name string, now clock.Millis) clock.Millis {
	wait, totalDemand := max(o.uncertainUntil-now, 0), 0.0
	own, _ := o.holding(name)
	for _, h := range o.holdings {
		totalDemand += h.measured
		if h.name == name {
			continue
		}
		if now-h.reported > ReportInterval+2*MinReportInterval {
			wait = max(wait, h.expires-now+o.recoveryTime(h.burst))
		}
		if !h.waiting && own.waiting && h.rate+h.burst > 0 {
			wait = max(wait, ReportInterval+2*MinReportInterval)
		}
	}
	if own.waiting && totalDemand <= o.rate {
		wait = max(wait, ReportInterval+2*MinReportInterval)
	}
	return wait
}

// recoveryTime returns the time in milliseconds that it may take to make up for
// lost tokens. It counts twice the fill time, for a demand that uses part of the rate
// but not all of it.
func (o Owner) recoveryTime(tokens float64) clock.Millis {
	return ReportInterval + 2*o.fillTime(tokens)
}

// fillTime returns the time in milliseconds in which the rate produces the tokens,
// at most maxFillTime.
func (o Owner) fillTime(tokens float64) clock.Millis {
	return clock.Millis(min(tokens/o.rate, maxFillTime) * float64(clock.Second))
}
