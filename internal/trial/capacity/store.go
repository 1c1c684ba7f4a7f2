package capacity

import (
	"context"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	standin "github.com/sycamoredoor/sycamoredoor/internal/standin/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

const (
	// storeCountTime is how long requests to the store are counted.
	storeCountTime = 3 * time.Second
	// storeTimeout bounds one request to the store, in milliseconds.
	storeTimeout = 10_000
	// historyEdits is more edits than the history in the configuration record holds.
	historyEdits = 100
)

// storeVMCounts are the numbers of VMs at which requests are counted.
var storeVMCounts = []int{3, 6, 9}

// StoreLoad is the load on the platform's store.
type StoreLoad struct {
	Points []StorePoint `json:"points"`
	// RequestRateFit is the line fitted to Points: requests per second as a function of
	// the number of idle VMs, in three zones.
	RequestRateFit Line `json:"requests"`
	// EditRequests is the number of requests of one edit of a document with the number of
	// databases of the design.
	EditRequests int64 `json:"edit"`
	// RecordSize is the size in bytes of the configuration record after historyEdits.
	RecordSize int `json:"record"`
	// MemberSetRequests is the number of requests of one change of the member set, and
	// MemberSetSize the size in bytes of a member set with the number of VMs of the
	// design.
	MemberSetRequests int64 `json:"set"`
	MemberSetSize     int   `json:"members"`
}

// StorePoint is the number of requests per second that idle VMs send to the store.
type StorePoint struct {
	VMs         int     `json:"vms"`
	RequestRate float64 `json:"requests"`
}

func measureStore(ctx context.Context) (StoreLoad, error) {
	var s StoreLoad
	var x, y []float64
	for _, n := range storeVMCounts {
		p, err := measureRequestRate(ctx, n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, p)
		x, y = append(x, float64(n)), append(y, p.RequestRate)
	}
	s.RequestRateFit = FitLine(x, y)
	return s, measureEdits(ctx, &s)
}

func measureRequestRate(ctx context.Context, vms int) (StorePoint, error) {
	ctx, cancel := context.WithCancel(ctx)
	s, err := startSystem(ctx, vms)
	if err != nil {
		cancel()
		return StorePoint{}, err
	}
	defer func() { _ = s.Wait(system.Timeout.Duration()) }()
	defer cancel()
	before := s.Platform.RequestCount()
	cpuPercent(ctx, storeCountTime) // used only to wait
	return StorePoint{VMs: vms, RequestRate: float64(s.Platform.RequestCount()-before) / storeCountTime.Seconds()}, nil
}

// measureEdits sets the fields of s that depend on edits: the requests of an edit of a
// document of the design's size, the size of a record after historyEdits, and the cost
// of a change of the member set.
func measureEdits(ctx context.Context, s *StoreLoad) error {
	var err error
	if s.EditRequests, _, err = applyEdits(ctx, Databases, 1); err != nil {
		return err
	}
	if _, s.RecordSize, err = applyEdits(ctx, databaseCounts[0], historyEdits); err != nil {
		return err
	}
	s.MemberSetRequests, s.MemberSetSize, err = measureMemberSetChange(ctx)
	return err
}

// FullSizeRequestRate returns the requests per second at the design's size. In each zone
// one VM, the root of its relay tree, reads the store, whatever the number of VMs, so the
// intercept is proportional to the number of zones. Each VM adds the slope.
func (s StoreLoad) FullSizeRequestRate() float64 {
	return s.RequestRateFit.Intercept*Zones/float64(len(places)) + s.RequestRateFit.Slope*VMs
}

// measureMemberSetChange returns the number of requests of one change of the member set
// and the size of the set in bytes.
func measureMemberSetChange(ctx context.Context) (requests int64, size int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	p, err := standin.New(ctx)
	if err != nil {
		cancel()
		return 0, 0, err
	}
	defer func() { <-p.Done() }()
	defer cancel()
	store := platform.NewStore(p.URL(), storeTimeout)
	putObject := store.PutObjectFunc
	store.PutObjectFunc = func(ctx context.Context, name string, body []byte) error {
		size = len(body)
		return putObject(ctx, name, body)
	}
	err = configuration.SetMembers(ctx, store, 0, newMembers(VMs))
	return p.RequestCount(), size, err
}

// applyEdits applies a document with the given number of databases, then count edits of
// one section. It returns the number of requests of the last edit and the size of the
// record after it, in bytes.
func applyEdits(ctx context.Context, databases, count int) (requests int64, size int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	p, err := standin.New(ctx)
	if err != nil {
		cancel()
		return 0, 0, err
	}
	defer func() { <-p.Done() }()
	defer cancel()
	store := platform.NewStore(p.URL(), storeTimeout)
	texts, err := documentTexts(databases)
	if err != nil {
		return 0, 0, err
	}
	version, err := configuration.Apply(ctx, store, configuration.Change{Time: time.Now(), Texts: texts})
	for range count {
		if err != nil {
			return 0, 0, err
		}
		requests = p.RequestCount()
		texts[document.SectionRoutes] += "\n"
		changed := map[string]string{document.SectionRoutes: texts[document.SectionRoutes]}
		version, err = configuration.Apply(ctx, store, configuration.Change{BaseVersion: version, Time: time.Now(), Texts: changed})
	}
	if err != nil {
		return 0, 0, err
	}
	requests = p.RequestCount() - requests
	r, err := store.GetRecordFunc(ctx, configuration.Key)
	return requests, len(r.Body), err
}
