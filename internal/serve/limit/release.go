package limit

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/core/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// Release returns each of this VM's parts to the VM that owns the account, so that
// other VMs can use them at once. It is for a planned stop and must be called after
// the last statement and before the context of Run ends, because the connections to
// other VMs end with that context. It takes at most askTimeout and reports no
// errors: a part that could not be returned expires.
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

// releaseReports returns the reports that give all parts back, by the owner of the
// accounts, and the version of the member set. There are none while this VM may not act.
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
		// Release does not apply the answer, so none is awaited.
		h.bucket = h.bucket.WithAnswerLost()
		vm := l.ownerOf(account)
		out[vm] = append(out[vm], r)
	}
	return out, l.version
}
