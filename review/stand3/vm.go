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

	"github.com/go-faster/errors"
)

// program is the built program, and role its role in the deploy file.
const (
	program = "target/sycamoredoor"
	role    = "frontend"
)

// settings are those of deploy/settings.yaml, with the figures of a small deployment.
const settings = `vm: %q
zone: %q
region: "r"
zones: {"a":"r","b":"r","c":"r"}
callers: %q
ready: %q
ip: %q
ports: [%d,%d]
memory: 284
descriptors: 4200
grace: 6
excess: 0.1
slack: 20
window: 5
store: %q
promotions: %q
metrics: %q
coldexcess: 
coldslack: 
drain: 7000
deadline: 3000
evacuate: 
`

// vm is a VM that runs as a process.
type vm struct {
	name    string
	callers string
	ready   string
	path    string
	command *exec.Cmd
	exited  chan struct{}
}

// freePort returns a port of a loopback address that is free for TCP and UDP.
func freePort(ip string) (int, error) {
	for range 20 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// newVM writes the settings of VM number i, on a loopback address of its own. storeAddress is
// that of the store as this VM reaches it.
func newVM(folder string, i int, storeAddress string) (*vm, error) {
	ip := fmt.Sprintf("127.0.0.%d", 11+i)
	var ports [4]int
	for j := range ports {
		var err error
		if ports[j], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	at := func(j int) string { return fmt.Sprintf("%s:%d", ip, ports[j]) }
	zone := string('a' + rune(i%3))
	v := &vm{name: fmt.Sprintf("frontend-%s-%d", zone, i), callers: at(0), ready: at(1)}
	v.path = filepath.Join(folder, v.name+".yaml")
	text := fmt.Sprintf(settings, v.name, zone, v.callers, v.ready, ip, ports[2], ports[2], storeAddress, storeAddress, at(3))
	return v, os.WriteFile(v.path, []byte(text), 0o600)
}

// start starts the process, with its log in the folder of the settings.
func (v *vm) start() error {
	logFile, err := os.OpenFile(v.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	v.command = exec.Command(program, role)
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SYCAMOREDOOR_SETTINGS=" + v.path}
	v.command.Stdout, v.command.Stderr = logFile, logFile
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(v.command, v.exited)
	return nil
}

// kill ends the process and waits for its end.
func (v *vm) kill() {
	if v.command == nil || v.command.Process == nil {
		return
	}
	_ = v.command.Process.Signal(syscall.SIGKILL)
	<-v.exited
}

// isReady reports whether the VM answers the platform's probe with 200.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + v.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
