package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sycamoredoor/sycamoredoor/platform/standin"
)

// deployment is the platform with its services and the VMs.
type deployment struct {
	rec      *record
	folder   string
	store    *standin.Store
	groups   map[string]*group
	vms      []*vm
	version  int
	promoter net.Listener
	// promoterDown makes the promotion service answer 503.
	promoterDown atomic.Bool
	// promoterRefused counts the orders answered so.
	promoterRefused atomic.Int64
}

// route is a route of the configuration.
type route struct{ host, kind, service string }

func newDeployment(rec *record) *deployment {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	store, err := standin.NewStore()
	if err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d := &deployment{rec: rec, folder: folder, store: store, groups: map[string]*group{}, promoter: l}
	m := http.NewServeMux()
	m.HandleFunc("POST /promotion", d.promote)
	go func() { _ = (&http.Server{Handler: m, ReadHeaderTimeout: time.Second}).Serve(l) }()
	return d
}

func (d *deployment) promote(w http.ResponseWriter, r *http.Request) {
	if d.promoterDown.Load() {
		d.promoterRefused.Add(1)
		d.rec.printf("the promotion service answers 503")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || d.groups[body.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(d.groups[body.Service].promote(body.ID, r.Header.Get("Holder"), token))
}

// configure writes the next version of the configuration.
func (d *deployment) configure(routes ...route) {
	d.version += 7
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"host": r.host, "routeKind": r.kind, "service": r.service, "timeoutMs": 1000, "targetLatencyMs": 800, "priority": 1,
			"maxStalenessMs": 2500, "public": false,
		})
	}
	for name := range d.groups {
		ss = append(ss, map[string]any{"name": name, "maxConns": 22, "syncReplicas": 1})
	}
	d.store.Put("op", "config", map[string]any{
		"version": d.version, "routes": rs, "services": ss, "limits": map[string]any{"txIdleMs": 5000},
		"tenants": []map[string]any{{"name": "acme", "apiKeys": []string{"key-acme"}, "priority": 0, "ratePerS": 4000, "burst": 4000}},
	})
	d.rec.printf("configuration %d acknowledged: %v", d.version, routes)
}

func (d *deployment) addGroup(name string, zones ...string) *group {
	g := newGroup(name, d.store, d.rec, zones...)
	d.groups[name] = g
	return g
}

// startVMs starts one VM in each of the zones, and waits until each serves a read.
func (d *deployment) startVMs(database string, zones ...string) error {
	for i, zone := range zones {
		v := newVM(d.folder, fmt.Sprintf("vm%d", i), zone, d.store.Address(), d.promoter.Addr().String())
		if err := v.start(); err != nil {
			return err
		}
		d.vms = append(d.vms, v)
	}
	for _, v := range d.vms {
		if !d.awaitServing(v, database, 20*time.Second) {
			return errors.New(v.name + " does not serve")
		}
	}
	d.rec.printf("%d VMs serve", len(d.vms))
	return nil
}

func (d *deployment) awaitServing(v *vm, database string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		v.restartIfExited()
		if !v.ready() {
			continue
		}
		s, err := openSession(d.rec, v.callers, database, "start-"+v.name)
		if err != nil {
			continue
		}
		a, err := s.query(newID(), "READ start")
		s.close()
		if err == nil && a.ok() {
			return true
		}
	}
	return false
}

// close ends every process and removes the temporary folder. Logs are kept if KEEP names a
// folder.
func (d *deployment) close() {
	for _, v := range d.vms {
		v.kill()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, v := range d.vms {
			if b, err := os.ReadFile(filepath.Join(d.folder, v.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, v.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.folder)
}

// violations returns what broke a rule at the servers.
func (d *deployment) violations() []string {
	var out []string
	for _, g := range d.groups {
		out = append(out, g.violations()...)
	}
	return out
}
