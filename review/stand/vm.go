package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// vm is one machine: a process of the project's program, started as in the deploy file.
type vm struct {
	name, zone             string
	folder, store, promote string
	callers, probe         string
	port                   string
	settings               string
	command                *exec.Cmd
	exited                 chan struct{}
}

// freeAddress returns a loopback address that is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// freePort returns a port that is free now for UDP.
func freePort() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	_, port, _ := net.SplitHostPort(c.LocalAddr().String())
	return port
}

// newVM writes the settings, with the fields of deploy/settings.yaml and the bounds of the
// site thornbury-subs.
func newVM(folder, name, zone, store, promote string) *vm {
	v := &vm{name: name, zone: zone, folder: folder, store: store, promote: promote}
	v.writeSettings()
	return v
}

// writeSettings chooses free addresses and writes the settings file.
func (v *vm) writeSettings() {
	v.callers, v.probe, v.port = freeAddress(), freeAddress(), freePort()
	v.settings = filepath.Join(v.folder, v.name+".yaml")
	text := fmt.Sprintf(`vm: %q
zone: %q
region: "r"
zones: {"a":"r","b":"r","c":"r"}
callers: %q
ready: %q
ip: "127.0.0.1"
ports: [%s,%s]
memory: 284
descriptors: 4200
grace: 6
excess: 0.1
slack: 20
window: 5
store: %q
promotions: %q
metrics: %q
drain: 7000
`, v.name, v.zone, v.callers, v.probe, v.port, v.port, v.store, v.promote, freeAddress())
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// restartIfExited starts the process on other addresses if it has ended: another program may
// have taken an address after freeAddress had released it.
func (v *vm) restartIfExited() {
	select {
	case <-v.exited:
		v.writeSettings()
		_ = v.start()
	default:
	}
}

// start starts "target/sycamoredoor frontend".
func (v *vm) start() error {
	c := exec.Command(filepath.Join("target", "sycamoredoor"), "frontend")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SYCAMOREDOOR_SETTINGS=" + v.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(v.folder, v.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	v.command, v.exited = c, make(chan struct{})
	go func(exited chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(v.exited)
	return nil
}

func (v *vm) signal(s syscall.Signal) { _ = v.command.Process.Signal(s) }

// kill ends the process.
func (v *vm) kill() {
	if v.command == nil {
		return
	}
	v.signal(syscall.SIGKILL)
	<-v.exited
}

// ready asks the probe.
func (v *vm) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + v.probe + "/-/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
