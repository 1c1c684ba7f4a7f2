package limit

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/core/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// Release hands back every part to its owner, so that the other VMs have them at
// once. It is for a planned stop, after the last statement and before the
// context of Run ends. What cannot be handed back lapses.
func (l *Limiter) Release(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	batches, version := l.releaseReports()
	ends := make(chan struct{}, len(batches))
	for vm, reports := range batches {
		s := inner.ShareRequest{From: l.options.VM.Name, Process: l.process, Version: version, Reports: reports}
		go func() {
			defer func() { ends <- struct{}{} }()
			_, _ = l.options.AskFunc(bounded, vm, inner.Question{Topic: inner.TopicShare, Share: &s})
		}()
	}
	for range batches {
		<-ends
	}
}

func (l *Limiter) releaseReports() (map[member.VM][]limit.Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	out := map[member.VM][]limit.Report{}
	if !l.refreshLocked(now) {
		return out, l.version
	}
	for account, h := range l.localLimits {
		var r limit.Report
		h.bucket, r = h.bucket.WithRelease(account, now)
		h.bucket = h.bucket.WithAnswerLost()
		vm := l.ownerOf(account)
		out[vm] = append(out[vm], r)
	}
	return out, l.version
}
