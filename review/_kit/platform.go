package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
	"github.com/monsoonworks/monsoonworks/platform/platformtest"
)

type object = map[string]any

// Ports are free ones, the same on all machines; each machine has an address of its own.
var frontendPort, readyPort, relayPort, metricsPort, serverPort, storePort int

// Bounds of a small site; see the settings that `fleetbench wire` prints.
const (
	contact    = 4 * time.Second
	drainTime  = 2500 * time.Millisecond
	heartbeat  = 1200 * time.Millisecond
	graceTime  = 8 * time.Second
	configTime = 2500 * time.Millisecond
)

// process is a process of the system, which can be started again.
type process struct {
	name     string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{}
}

func (p *process) start() {
	p.cmd = exec.Command("target/monsoond", "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// The kernel ends the process if this one dies.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		cannotRun("starting %s: %v", p.name, err)
	}
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) stop(s syscall.Signal) {
	p.signal(s)
	<-p.done
}

// deployment is a small deployment: the platform's store, gates, and servers with relays.
type deployment struct {
	rec     *record
	dir     string
	subnet  string
	store   *memstore.Store
	handler *platformtest.Server
	gates   []*process
	gateIPs []string
	relays  []*process
	servers []*server

	mu      sync.Mutex
	version int64
	sound   soundCount
}

// soundCount counts the answers to sound requests. A cut one had begun and is incomplete.
type soundCount struct{ sent, whole, cut, refused, failed int }

// sendSound sends a sound request and counts its answer.
func (d *deployment) sendSound(q request) answer {
	a := d.send(q)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sound.sent++
	switch {
	case a.status == http.StatusOK && a.complete:
		d.sound.whole++
	case a.status == http.StatusOK:
		d.sound.cut++
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		d.sound.refused++
	default:
		d.sound.failed++
	}
	return a
}

func (d *deployment) saySound() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.say("sound requests: %d sent, %d answered whole, %d cut in the middle, %d refused, %d failed",
		d.sound.sent, d.sound.whole, d.sound.cut, d.sound.refused, d.sound.failed)
}

// newDeployment starts the platform's store on an unused part of the loopback network.
func newDeployment(rec *record) *deployment {
	d := &deployment{rec: rec, store: memstore.New(memstore.Options{})}
	var err error
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("temporary folder: %v", err)
	}
	d.handler = platformtest.New(d.store)
	for range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		choosePorts(d.subnet + "5")
		listener, err := net.Listen("tcp", fmt.Sprintf("%s5:%d", d.subnet, storePort))
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(listener, d.handler) }()
		return d
	}
	cannotRun("no free loopback addresses")
	return nil
}

// choosePorts sets the ports to different ones that are free on an address.
func choosePorts(address string) {
	for _, port := range []*int{&frontendPort, &readyPort, &relayPort, &metricsPort, &serverPort, &storePort} {
		listener, err := net.Listen("tcp", address+":0")
		if err != nil {
			cannotRun("no free port: %v", err)
		}
		defer listener.Close()
		*port = listener.Addr().(*net.TCPAddr).Port
	}
}

func (d *deployment) storeAddress() string { return fmt.Sprintf("%s5:%d", d.subnet, storePort) }

// put writes a key as the operator or a server.
func (d *deployment) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		cannotRun("encoding %s: %v", key, err)
	}
	if _, err := d.store.Commit(context.Background(), store.Txn{Write: []store.Write{{Key: key, Value: raw}}}); err != nil {
		cannotRun("writing %s: %v", key, err)
	}
}

func (d *deployment) remove(key string) {
	_, _ = d.store.Commit(context.Background(), store.Txn{Write: []store.Write{{Key: key, Delete: true}}})
}

// configure writes a configuration with four routes and the given prepaid amounts.
func (d *deployment) configure(prepaid map[string]int64) {
	d.mu.Lock()
	d.version += 3
	version := d.version
	d.mu.Unlock()
	tenants := []object{}
	for name, paid := range prepaid {
		tenants = append(tenants, object{"name": name, "api_keys": []string{"key-" + name}, "prepaid": paid})
	}
	stream := func(name, prefix string, attempts int, resumable bool) object {
		return object{
			"name": name, "host": host, "path_prefix": prefix, "route_kind": "streaming", "timeout_ms": 6000, "slo_ms": 500, "priority": 1,
			"service": "model", "max_attempts": attempts, "sticky": true, "resumable": resumable, "gap_target_ms": 300,
		}
	}
	d.put("op/config", object{
		"version": version,
		"route_list": []object{
			stream("draft", "/draft/", 2, true), stream("chat", "/chat/", 1, false),
			{"name": "order", "host": host, "path_prefix": "/order/", "route_kind": "unsafe", "timeout_ms": 2000, "slo_ms": 200, "priority": 2, "service": "app", "max_attempts": 1},
			{"name": "read", "host": host, "path_prefix": "/read/", "route_kind": "safe", "timeout_ms": 2000, "slo_ms": 200, "priority": 2, "service": "app", "max_attempts": 2},
		},
		"services": []object{
			{"name": "model", "health_path": "/healthz", "max_conns": 230, "engine": object{"slots": 32, "kv_capacity": 210480, "stride": stride}},
			{"name": "app", "health_path": "/healthz", "max_conns": 100},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": tenants,
	})
}

const (
	host   = "ficu95.example"
	stride = 3
	region = "finistere"
)

// process renders a template of the deploy file with the settings of a machine.
func (d *deployment) process(template, name, ip, zone string) *process {
	raw, err := os.ReadFile(filepath.Join("deploy", template))
	if err != nil {
		cannotRun("template: %v", err)
	}
	text := strings.NewReplacer(
		"{{node_name}}", name, "{{region}}", region, "{{zone}}", zone, "{{ip}}", ip,
		"{{bounds.grace_s}}", fmt.Sprint(int(graceTime.Seconds())), "{{port_range.0}}", fmt.Sprint(relayPort), "{{platform.address}}", d.storeAddress(),
		"{{listen.frontend}}", fmt.Sprintf("%s:%d", ip, frontendPort), "{{listen.ready}}", fmt.Sprintf("%s:%d", ip, readyPort),
		"{{zones|json}}", `{"quimper":"finistere","brest":"finistere"}`, "{{bounds.retry_ratio}}", "0.2", "{{bounds.retry_slack}}", "54",
		"{{limits.memory_mb}}", "284", "{{limits.link_mbps}}", "1000", ":9464", fmt.Sprintf(":%d", metricsPort),
	).Replace(string(raw))
	p := &process{name: name, settings: filepath.Join(d.dir, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	if p.log, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		cannotRun("log: %v", err)
	}
	return p
}

func zoneOf(i int) string { return []string{"quimper", "brest"}[i%2] }

// start starts gates, model servers with a relay each, and plain servers, and waits until all
// gates are ready.
func (d *deployment) start(gates, models, apps int) {
	for i := range models {
		d.addServer("model", fmt.Sprintf("%s%d", d.subnet, 50+i), zoneOf(i))
	}
	for i := range apps {
		d.addServer("app", fmt.Sprintf("%s%d", d.subnet, 100+i), zoneOf(i))
	}
	for i := range models {
		p := d.process("relay.yaml.tmpl", fmt.Sprintf("side-%d", i), d.servers[i].ip, zoneOf(i))
		d.relays = append(d.relays, p)
		p.start()
	}
	for i := range gates {
		ip := fmt.Sprintf("%s%d", d.subnet, 10+i)
		d.gateIPs = append(d.gateIPs, ip)
		p := d.process("gate.yaml.tmpl", fmt.Sprintf("edge-%d", i), ip, zoneOf(i))
		d.gates = append(d.gates, p)
		p.start()
	}
	for i := range d.gates {
		d.awaitReady(i)
	}
	time.Sleep(4 * time.Second) // the bench, too, starts traffic some seconds after the machines
}

func (d *deployment) awaitReady(i int) {
	client := &http.Client{Timeout: time.Second}
	for range 150 {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", d.gateIPs[i], readyPort))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun("gate %d does not get ready", i)
}

// end ends all processes that were started.
func (d *deployment) end() {
	for _, p := range append(append([]*process(nil), d.gates...), d.relays...) {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.stop(syscall.SIGKILL)
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
