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
	// edits is as many as fill the history of the record.
	edits = 100
)

// storeSizes is the numbers of VMs at which requests are counted.
var storeSizes = []int{3, 6, 9}

// Store is what the platform's store is asked.
type Store struct {
	Points []StorePoint `json:"points"`
	// Requests is requests a second by the number of VMs, in three zones.
	Requests Line `json:"requests"`
	// Edit is the requests of one edit, Record the bytes of the record after many.
	Edit   int64 `json:"edit"`
	Record int   `json:"record"`
	// Set is the requests of one change of the member set, and Members the bytes
	// of a set of full size.
	Set     int64 `json:"set"`
	Members int   `json:"members"`
}

// StorePoint is the requests a second of VMs at rest.
type StorePoint struct {
	VMs      int     `json:"vms"`
	Requests float64 `json:"requests"`
}

func measureStore(ctx context.Context) (Store, error) {
	var s Store
	var x, y []float64
	for _, n := range storeSizes {
		p, err := countRequests(ctx, n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, p)
		x, y = append(x, float64(n)), append(y, p.Requests)
	}
	s.Requests = Fit(x, y)
	return s, measureEdit(ctx, &s)
}

func countRequests(ctx context.Context, vms int) (StorePoint, error) {
	ctx, cancel := context.WithCancel(ctx)
	s, err := startSystem(ctx, vms)
	if err != nil {
		cancel()
		return StorePoint{}, err
	}
	defer func() { _ = s.Wait(system.Timeout.Duration()) }()
	defer cancel()
	before := s.Platform.Requests()
	coreOver(ctx, storeTime)
	return StorePoint{VMs: vms, Requests: float64(s.Platform.Requests()-before) / storeTime.Seconds()}, nil
}

// measureEdit counts the requests of an edit of a document of full size, and
// finds the size of a record whose history is full.
func measureEdit(ctx context.Context, s *Store) error {
	var err error
	if s.Edit, _, err = edit(ctx, Databases, 1); err != nil {
		return err
	}
	if _, s.Record, err = edit(ctx, documentSizes[0], edits); err != nil {
		return err
	}
	s.Set, s.Members, err = changeSet(ctx)
	return err
}

// AtSize returns the requests a second at full size: one root reads the store in
// each zone, whatever the number of VMs, and each VM adds what the slope says.
func (s Store) AtSize() float64 {
	return s.Requests.Base*Zones/float64(len(places)) + s.Requests.Slope*Nodes
}

// changeSet returns the requests of one change of the member set and the bytes
// of the set.
func changeSet(ctx context.Context) (requests int64, size int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	p, err := standin.New(ctx)
	if err != nil {
		cancel()
		return 0, 0, err
	}
	defer func() { <-p.Done() }()
	defer cancel()
	store := platform.NewStore(p.URL(), storeTimeout)
	keep := store.PutObjectFunc
	store.PutObjectFunc = func(ctx context.Context, name string, body []byte) error {
		size = len(body)
		return keep(ctx, name, body)
	}
	err = configuration.SetMembers(ctx, store, 0, newMembers(Nodes))
	return p.Requests(), size, err
}

// edit makes some edits of one section and returns the requests of the last one
// and the size of the record after it.
func edit(ctx context.Context, databases, count int) (requests int64, size int, err error) {
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
		requests = p.Requests()
		texts[document.SectionRoutes] += "\n"
		changed := map[string]string{document.SectionRoutes: texts[document.SectionRoutes]}
		version, err = configuration.Apply(ctx, store, configuration.Change{Base: version, When: time.Now(), Texts: changed})
	}
	if err != nil {
		return 0, 0, err
	}
	requests = p.Requests() - requests
	r, err := store.GetRecordFunc(ctx, configuration.Key)
	return requests, len(r.Body), err
}
