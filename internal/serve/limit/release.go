package limit

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/core/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// Release hands every part back to its owner, so that other VMs can use them at
// once. It is for a planned stop and must be called after the last statement
// and before the context of Run ends. A part that cannot be handed back within
// askTimeout lapses.
func (l *Limiter) Release(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	reportsByVM, version := l.releaseReports()
	done := make(chan struct{}, len(reportsByVM))
	for vm, reports := range reportsByVM {
		request := inner.ShareRequest{From: l.options.VM.Name, Process: l.process, Version: version, Reports: reports}
		go func() {
			defer func() { done <- struct{}{} }()
			_, _ = l.options.AskFunc(timeoutCtx, vm, inner.Question{Topic: inner.TopicShare, Share: &request})
		}()
	}
	for range reportsByVM {
		<-done
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
