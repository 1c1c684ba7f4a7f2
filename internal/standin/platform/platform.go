// Package platform is a stand-in for the platform: a table of versioned records, an
// object store and the list of VMs, over HTTP with conditional requests. Tests and
// trials can make it slow or fail.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// maxBodyBytes is the largest size of a record or object, in bytes.
const maxBodyBytes = 16 << 20

// record is a value of the table. Its version is sent as its ETag.
type record struct {
	body    []byte
	version uint64
}

// Platform serves the table, the objects and the list of VMs from memory.
type Platform struct {
	listener net.Listener
	done     chan struct{}

	mu          sync.Mutex
	table       map[string]record
	objects     map[string][]byte
	vms         map[string]member.VM
	lastVersion uint64
	down        bool
	delay       time.Duration
	// answersToLose is the number of record writes whose answers are still to be dropped.
	answersToLose int
	requestCount  int64
}

// New starts a platform on a free loopback port. It runs until ctx ends.
func New(ctx context.Context) (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{
		listener: l, done: make(chan struct{}),
		table: map[string]record{}, objects: map[string][]byte{}, vms: map[string]member.VM{},
	}
	server := &http.Server{Handler: p.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		defer close(p.done)
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return
		}
	}()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return p, nil
}

// Done returns a channel that is closed once the platform has stopped.
func (p *Platform) Done() <-chan struct{} { return p.done }

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// SetDown sets whether every request fails with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDelay delays every request by d.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseWriteAnswers drops the answers to the next n writes of records. The writes take
// effect.
func (p *Platform) LoseWriteAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = n
}

// SetVM adds a VM to the list or replaces its entry.
func (p *Platform) SetVM(v member.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[v.Name] = v
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
}

// RequestCount returns the number of requests received so far.
func (p *Platform) RequestCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requestCount
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/{key...}", p.getRecord)
	mux.HandleFunc("PUT /table/{key...}", p.putRecord)
	mux.HandleFunc("GET /object/{name}", p.getObject)
	mux.HandleFunc("PUT /object/{name}", p.putObject)
	mux.HandleFunc("GET /vms", p.getVMs)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.requestCount++
		down, delay := p.down, p.delay
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if down {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Platform) getRecord(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	v, ok := p.table[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	tag := etag(v.version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(v.body)
}

func etag(n uint64) string { return strconv.Quote(strconv.FormatUint(n, 10)) }

func (p *Platform) putRecord(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	tag, ok, lost := p.updateRecord(r, body)
	if lost {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "the record has another version", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", tag)
	w.WriteHeader(http.StatusNoContent)
}

// updateRecord writes a record unless the request's If-Match or "If-None-Match: *" fails.
// ok reports whether it was written, and tag is the new ETag. lost reports that the answer
// must be dropped; tag is empty then.
func (p *Platform) updateRecord(r *http.Request, body []byte) (tag string, ok, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	current, exists := p.table[key]
	if expected := r.Header.Get("If-Match"); expected != "" && (!exists || expected != etag(current.version)) {
		return "", false, false
	}
	if r.Header.Get("If-None-Match") == "*" && exists {
		return "", false, false
	}
	p.lastVersion++
	p.table[key] = record{body: body, version: p.lastVersion}
	if p.answersToLose > 0 {
		p.answersToLose--
		return "", true, true
	}
	return etag(p.lastVersion), true, false
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	body, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = body
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := make([]member.VM, 0, len(p.vms))
	for _, v := range p.vms {
		list = append(list, v)
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
