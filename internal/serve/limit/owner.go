package limit

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// shardCount is the number of shards into which accounts are hashed. The owner
// of a shard follows from the members of the version alone.
const shardCount = 256

// shard is the state of one shard on this VM.
type shard struct {
	owned bool
	// ready is set once no earlier owner can grant. What earlier owners granted
	// expires limit.Expiry after started.
	ready   bool
	started clock.Millis
	// surveyed is set once every member has reported the parts that it has from
	// earlier owners; started is then set to limit.Expiry ago, as if the parts
	// that earlier owners granted had expired.
	surveyed bool
}

// survey asks every member for the parts that it has from earlier owners.
type survey struct {
	// id is random and new with each version, so a report that carries it was
	// sent after this survey. It is 0 until the survey starts.
	id uint64
	// reported holds the names of the members that have reported with the ID.
	reported map[string]bool
	// sentAt is the time at which members were last asked.
	sentAt clock.Millis
}

func shardOf(account string) int { return int(xxhash.Sum64String(account) % shardCount) }

func (l *Limiter) ownerOf(account string) member.VM { return l.shardOwners[shardOf(account)] }

// refreshLocked switches to the current version and reports whether this VM may
// act. The caller must hold l.mu.
func (l *Limiter) refreshLocked(now clock.Millis) bool {
	version, members, mayAct := l.options.MembersFunc()
	if version != l.version {
		l.applyVersion(version, members, now)
	}
	if !mayAct || !l.isMember(l.options.VM.Name) {
		return false
	}
	if l.survey.id == 0 && l.options.AcceptedFunc() >= version {
		l.startSurvey(now)
	}
	return true
}

func (l *Limiter) isMember(name string) bool {
	return slices.ContainsFunc(l.members, func(v member.VM) bool { return v.Name == name })
}

// applyVersion switches to a version of the member set. A ready shard that this VM
// owned in the version just before, and still owns, keeps its state. All others
// start without state, since other VMs may have granted parts of their accounts. A
// VM that is no longer a member drops its parts. Outstanding answers of former
// owners are ignored. The caller must hold l.mu.
func (l *Limiter) applyVersion(version uint64, members []member.VM, now clock.Millis) {
	successive := version == l.version+1
	l.version, l.members, l.survey = version, members, survey{}
	previousOwners := l.shardOwners
	for i := range l.shardOwners {
		l.shardOwners[i], _ = member.Place(members, "limit/"+strconv.Itoa(i), "")
		owned := l.shardOwners[i].Name == l.options.VM.Name
		if !owned || !successive || !l.shards[i].ready {
			l.shards[i] = shard{owned: owned}
		}
	}
	for account := range l.owners {
		if !l.shards[shardOf(account)].ready {
			delete(l.owners, account)
		}
	}
	isMember := l.isMember(l.options.VM.Name)
	for account, h := range l.localLimits {
		if !isMember {
			h.bucket = limit.NewHolder(now)
		}
		if previousOwners[shardOf(account)].Name != l.ownerOf(account).Name {
			h.bucket = h.bucket.WithAnswerLost()
		}
	}
	clear(l.pendingSurveys)
}

// startSurvey starts a survey and marks the shards that this VM newly owns as
// ready. It must be called only once the version is accepted, since then no earlier
// owner can grant any more.
func (l *Limiter) startSurvey(now clock.Millis) {
	l.survey = survey{id: newSurveyID(), reported: map[string]bool{}, sentAt: now - surveyInterval}
	for i, s := range l.shards {
		if s.owned && !s.ready {
			l.shards[i] = shard{owned: true, ready: true, started: now}
		}
	}
}

// newSurveyID returns a random ID, which is never 0.
func newSurveyID() uint64 {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return binary.BigEndian.Uint64(raw) | 1
}

// surveyInterval is the pause before a member that has not reported is asked
// again, and the timeout of each such request, in milliseconds.
const surveyInterval clock.Millis = 300

// sendSurveyLocked asks the members that have not reported yet, while a new
// shard is not surveyed, and returns the number of requests. The caller must
// hold l.mu.
func (l *Limiter) sendSurveyLocked(ctx context.Context, now clock.Millis) int {
	unsurveyed := slices.ContainsFunc(l.shards[:], func(s shard) bool { return s.ready && !s.surveyed })
	if l.survey.id == 0 || !unsurveyed || now-l.survey.sentAt < surveyInterval {
		return 0
	}
	l.survey.sentAt = now
	sent := 0
	s := inner.ShareRequest{From: l.options.VM.Name, Version: l.version, Survey: true, SurveyID: l.survey.id}
	for _, vm := range l.members {
		if l.survey.reported[vm.Name] {
			continue
		}
		sent++
		go func() {
			defer func() { l.requestDone <- struct{}{} }()
			timeoutCtx, cancel := context.WithTimeout(ctx, surveyInterval.Duration())
			defer cancel()
			_, _ = l.options.AskFunc(timeoutCtx, vm, inner.Question{Topic: inner.TopicShare, Share: &s})
		}()
	}
	return sent
}

// recordSurveyReport records that a member has reported all parts that it has
// from earlier owners. Once every member has, no unknown part is left that must
// expire before this VM grants the whole limit.
func (l *Limiter) recordSurveyReport(s *inner.ShareRequest, now clock.Millis) {
	if s.SurveyID == 0 || s.SurveyID != l.survey.id {
		return
	}
	l.survey.reported[s.From] = true
	if len(l.survey.reported) < len(l.members) {
		return
	}
	for i, s := range l.shards {
		if s.ready && !s.surveyed {
			l.shards[i].surveyed, l.shards[i].started = true, now-limit.Expiry
		}
	}
	for account, o := range l.owners {
		l.owners[account] = o.WithAllReported(now)
	}
}

// Serve answers a question of topic share: reports of parts, to which it grants
// new parts, or a survey, which this VM answers with its next reports. A refusal
// is in the answer's Error.
func (l *Limiter) Serve(question inner.Question) inner.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	request := question.Share
	switch {
	case request == nil:
		return inner.Answer{Error: "the question about limits is empty"}
	case !l.refreshLocked(now):
		return inner.Answer{Error: "the VM may not act now"}
	case !l.isMember(request.From):
		return inner.Answer{Error: "VM " + request.From + " is no member"}
	case request.Survey && request.Version != l.version:
		return inner.Answer{Error: "the VM acts on another version"}
	case request.Survey:
		l.pendingSurveys[request.From] = request.SurveyID
		l.wake()
		return inner.Answer{}
	}
	var out inner.Answer
	for _, r := range request.Reports {
		if g, ok := l.grant(request.Process, r, now); ok {
			out.Grants = append(out.Grants, g)
		}
	}
	l.recordSurveyReport(request, now)
	return out
}

// grant applies one report as the owner of its account. It returns false for a
// report that gets no grant: the account's shard is not ready on this VM, the
// configuration in force is missing or lacks the account, or a later report of the
// process came first.
func (l *Limiter) grant(process string, r limit.Report, now clock.Millis) (limit.Grant, bool) {
	s := l.shards[shardOf(r.Account)]
	d := l.options.DocumentFunc()
	if !s.ready || d == nil {
		return limit.Grant{}, false
	}
	a, ok := d.Account(r.Account)
	if !ok {
		return limit.Grant{}, false
	}
	o, ok := l.owners[r.Account]
	if !ok {
		o = limit.NewOwner(a.Rate, a.Burst, s.started, now)
	}
	o, g, ok := o.WithLimit(a.Rate, a.Burst, now).WithReport(process, r, now)
	l.owners[r.Account] = o
	invariant.Check(o.WithinLimit(), invariant.AccountRate, "the parts of account %s exceed %g statements per second or %g at once", r.Account, a.Rate, a.Burst)
	return g, ok
}

// sweepLocked removes the state of owned accounts of which no VM has a part and
// whose bucket is full, at most once per limit.ReportInterval. The caller must hold
// l.mu.
func (l *Limiter) sweepLocked(now clock.Millis) {
	if now-l.lastSweep < limit.ReportInterval {
		return
	}
	l.lastSweep = now
	for account, o := range l.owners {
		if o.Full(now) {
			delete(l.owners, account)
		}
	}
}
