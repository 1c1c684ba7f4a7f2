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
	storeTime    = 3 * time.Second
	storeTimeout = 10_000
	// historySize is as many as fill the history of the record.
	historySize = 100
)

// storeVMCounts is the numbers of VMs at which requests are counted.
var storeVMCounts = []int{3, 6, 9}

// StoreLoad is what the platform's store is asked.
type StoreLoad struct {
	Points []StorePoint `json:"points"`
	// RequestRate is requests a second by the number of VMs, in three zones.
	RequestRate Line `json:"requests"`
	// EditRequests is the requests of one edit, Record the bytes of the record after many.
	EditRequests int64 `json:"edit"`
	RecordSize   int   `json:"record"`
	// MemberSetRequests is the requests of one change of the member set, and Members the bytes
	// of a set of full size.
	MemberSetRequests int64 `json:"set"`
	MemberSetSize     int   `json:"members"`
}

// StorePoint is the requests a second of VMs at rest.
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
	s.RequestRate = FitLine(x, y)
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
	cpuPercent(ctx, storeTime)
	return StorePoint{VMs: vms, RequestRate: float64(s.Platform.RequestCount()-before) / storeTime.Seconds()}, nil
}

// measureEdits counts the requests of an edit of a document of full size, and
// finds the size of a record whose history is full.
func measureEdits(ctx context.Context, s *StoreLoad) error {
	var err error
	if s.EditRequests, _, err = applyEdits(ctx, Databases, 1); err != nil {
		return err
	}
	if _, s.RecordSize, err = applyEdits(ctx, databaseCounts[0], historySize); err != nil {
		return err
	}
	s.MemberSetRequests, s.MemberSetSize, err = measureMemberSetChange(ctx)
	return err
}

// FullSizeRequestRate returns the requests a second at full size: one root reads the store in
// each zone, whatever the number of VMs, and each VM adds what the slope says.
func (s StoreLoad) FullSizeRequestRate() float64 {
	return s.RequestRate.Intercept*Zones/float64(len(places)) + s.RequestRate.Slope*VMs
}

// measureMemberSetChange returns the requests of one change of the member set and the bytes
// of the set.
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

// applyEdits makes some edits of one section and returns the requests of the last one
// and the size of the record after it.
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
	version, err := configuration.Apply(ctx, store, configuration.Change{When: time.Now(), Texts: texts})
	for range count {
		if err != nil {
			return 0, 0, err
		}
		requests = p.RequestCount()
		texts[document.SectionRoutes] += "\n"
		changed := map[string]string{document.SectionRoutes: texts[document.SectionRoutes]}
		version, err = configuration.Apply(ctx, store, configuration.Change{Base: version, When: time.Now(), Texts: changed})
	}
	if err != nil {
		return 0, 0, err
	}
	requests = p.RequestCount() - requests
	r, err := store.GetRecordFunc(ctx, configuration.Key)
	return requests, len(r.Body), err
}
