package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonworks/monsoonworks/devel/faultproxy"
	"github.com/monsoonworks/monsoonworks/devel/standin/engine"
	"github.com/monsoonworks/monsoonworks/devel/standin/hostlist"
	"github.com/monsoonworks/monsoonworks/devel/standin/service"
	"github.com/monsoonworks/monsoonworks/devel/standin/storeserver"
	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/operator"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Platform runs the stand-ins of one deployment and holds the settings of its
// processes. Traffic between regions passes through fault proxies.
type Platform struct {
	Spec     Spec
	Store    *storeserver.Server
	HostList *hostlist.Server
	// Engines and Services hold the stand-ins by the name of their agent.
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service
	// ProcessSettings holds the settings of all processes by name.
	ProcessSettings map[string]settings.Settings
	// Keys holds an API key for the default budget of each workspace, by workspace.
	Keys map[string]string
	// Budgets creates budgets, tops them up and issues keys.
	Budgets operator.BudgetManager

	dir      string // directory for secrets
	index    uint32 // number of this platform in the OS process, from 1
	latency  bool
	proxyAll bool
	// regionLimiter limits the traffic between regions, both directions together. It
	// is nil unless latencies are emulated.
	regionLimiter *rate.Limiter
	storeURL      string

	mu           sync.Mutex
	servers      []*http.Server
	proxies      map[proxyKey]*faultproxy.Proxy
	hostListURLs map[string]string // host list URL by domain
	storeURLs    map[string]string // store URL by region
}

// proxyKey identifies the proxy through which a region, a domain or the callers
// reach a host or the store.
type proxyKey struct {
	kind         proxyKind
	from, target string
}

// proxyKind is the network path that a proxy emulates.
type proxyKind uint8

const (
	betweenRegions proxyKind = iota
	betweenDomains
	fromCallers
)

// storeTarget is the target in the proxyKey of a proxy to the store.
const storeTarget = "store"

// Options configures a Platform.
type Options struct {
	// Dir is the directory for secrets.
	Dir string
	// HostListLag is the delay before host list changes become visible.
	HostListLag time.Duration
	// Engine is the configuration of all model engines; New sets Name and Models.
	Engine engine.Config
	// Service is the configuration of all plain services.
	Service service.Config
	// WrapEngine, if not nil, wraps the HTTP handler of each engine.
	WrapEngine func(http.Handler) http.Handler
	// Latency emulates the latencies between regions, between domains and to the
	// callers, and the bandwidth between regions.
	Latency bool
	// ProxyAll puts proxies in front of all hosts, also within a region.
	ProxyAll bool
	// EmptyStore leaves the store without configuration and budgets.
	EmptyStore bool
}

// New starts the stand-ins and writes configuration and budgets to the store. The
// caller must call Close on the returned Platform.
func New(ctx context.Context, spec Spec, o Options) (*Platform, error) {
	p := &Platform{
		Spec: spec, Engines: map[string]*engine.Engine{}, Services: map[string]*service.Service{},
		ProcessSettings: map[string]settings.Settings{}, Keys: map[string]string{}, dir: o.Dir, index: platformCount.Add(1),
		proxies: map[proxyKey]*faultproxy.Proxy{}, hostListURLs: map[string]string{}, storeURLs: map[string]string{},
		Store:    storeserver.New(memstore.New(memstore.Options{})),
		HostList: hostlist.New(o.HostListLag),
	}
	p.proxyAll = o.ProxyAll
	if p.latency = o.Latency; p.latency {
		p.regionLimiter = rate.NewLimiter(rate.Limit(2*spec.LinkBytesPerSecond), linkBurstBytes)
	}
	p.Budgets = operator.BudgetManager{KV: p.Store.Store, Shards: spec.Shards}
	if err := p.start(ctx, o); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// linkBurstBytes is the burst size of the bandwidth limit between regions.
const linkBurstBytes = 256 << 10

func (p *Platform) start(ctx context.Context, o Options) error {
	secret := filepath.Join(p.dir, "secret")
	if err := os.WriteFile(secret, []byte("a-shared-secret-of-the-testbed"), 0o600); err != nil {
		return err
	}
	address, err := p.serve(p.Store)
	if err != nil {
		return err
	}
	p.storeURL = "http://" + address
	for _, region := range p.Spec.RegionNames() {
		if err := p.openRegion(region, address); err != nil {
			return err
		}
	}
	if err := p.addProcesses(o, secret); err != nil {
		return err
	}
	if o.EmptyStore {
		return nil
	}
	return p.bootstrap(ctx)
}

// openRegion starts a host list server for each domain of a region and the proxy
// through which the region reaches the store.
func (p *Platform) openRegion(region, storeAddress string) error {
	for _, d := range p.Spec.Domains {
		if d.Region != region {
			continue
		}
		address, err := p.serve(&hostView{platform: p, region: region, domain: d.Name})
		if err != nil {
			return err
		}
		p.hostListURLs[d.Name] = "http://" + address + "/hosts"
	}
	var delay time.Duration
	if region != p.Spec.StoreRegion {
		delay = p.Spec.RegionDelay
	}
	proxy, err := p.proxy(proxyKey{betweenRegions, region, storeTarget}, storeAddress, delay)
	if err != nil {
		return err
	}
	p.storeURLs[region] = "http://" + proxy.Address()
	return nil
}

// serve serves a handler on a free port and returns its address.
func (p *Platform) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// proxy returns the proxy for key and creates it on first use. The delay is
// ignored unless latencies are emulated.
func (p *Platform) proxy(key proxyKey, target string, delay time.Duration) (*faultproxy.Proxy, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if proxy := p.proxies[key]; proxy != nil {
		return proxy, nil
	}
	proxy, err := faultproxy.New("127.0.0.1:0", target)
	if err != nil {
		return nil, err
	}
	if p.latency {
		proxy.SetDelay(delay)
	}
	if p.latency && key.kind == betweenRegions && delay > 0 {
		proxy.SetLimiter(p.regionLimiter)
	}
	p.proxies[key] = proxy
	return proxy, nil
}

func (p *Platform) addProcesses(o Options, secret string) error {
	for _, d := range p.Spec.Domains {
		for i := range d.Routers {
			p.addProcess(d, fmt.Sprintf("%s-router-%d", d.Name, i+1), wire.RoleRouter, secret, settings.Agent{})
		}
		for i := range d.Models {
			if err := p.addModel(d, fmt.Sprintf("%s-model-%d", d.Name, i+1), o, secret); err != nil {
				return err
			}
		}
		for i := range d.Services {
			if err := p.addService(d, fmt.Sprintf("%s-service-%d", d.Name, i+1), o, secret); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Platform) addModel(d Domain, name string, o Options, secret string) error {
	cfg := o.Engine
	cfg.Name, cfg.Models = name, []string{p.Spec.Model.Name}
	p.Engines[name] = engine.New(cfg)
	handler := p.Engines[name].Handler()
	if o.WrapEngine != nil {
		handler = o.WrapEngine(handler)
	}
	address, err := p.serve(handler)
	if err != nil {
		return err
	}
	p.addProcess(d, name, wire.RoleAgent, secret, settings.Agent{
		Pool: ModelPool, Kind: config.PoolModel, URL: "http://" + address, Slots: p.Spec.Slots,
	})
	return nil
}

func (p *Platform) addService(d Domain, name string, o Options, secret string) error {
	p.Services[name] = service.New(o.Service)
	address, err := p.serve(p.Services[name].Handler())
	if err != nil {
		return err
	}
	p.addProcess(d, name, wire.RoleAgent, secret, settings.Agent{
		Pool: ServicePool, Kind: config.PoolService, URL: "http://" + address, Slots: p.Spec.Slots,
	})
	return nil
}

func (p *Platform) addProcess(d Domain, name string, role wire.Role, secret string, a settings.Agent) {
	hostNumber := len(p.ProcessSettings) + 1
	inner := p.hostAddress(hostNumber, innerPort)
	s := settings.Default()
	s.Role, s.Name, s.Region, s.Domain = role, name, d.Region, d.Name
	s.Inner = settings.Inner{Listen: inner, Advertise: inner, SecretFile: secret}
	s.Store.Endpoints = []string{p.storeURLs[d.Region]}
	s.HostList.URL = p.hostListURLs[d.Name]
	s.HostList.Poll = settings.Duration(200 * time.Millisecond)
	if role == wire.RoleRouter {
		s.Public.Listen = p.hostAddress(hostNumber, publicPort)
	} else {
		s.Agent = a
	}
	p.ProcessSettings[name] = s
	p.HostList.Put(hosts.Host{
		Name: name, Address: inner, Role: role, Region: d.Region, Domain: d.Name, Pool: a.Pool,
	})
}

// Ports of the hosts. Each host has its own loopback address, so all hosts can use
// the same ports.
const (
	innerPort  = 7101
	publicPort = 8080
)

// platformCount counts the platforms of this process; each uses its own address
// range.
var platformCount atomic.Uint32

// hostAddress returns the address of a host of this platform. The process ID in it
// keeps concurrent test processes apart.
func (p *Platform) hostAddress(hostNumber, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()%200, p.index%256, hostNumber, port)
}

// bootstrap writes the configuration and creates a budget and a key for each
// workspace.
func (p *Platform) bootstrap(ctx context.Context) error {
	writes, err := p.Spec.ConfigWrites()
	if err != nil {
		return err
	}
	if _, err := config.Apply(ctx, p.Store.Store, 0, writes, "testbed"); err != nil {
		return err
	}
	for _, w := range p.Spec.Workspaces {
		id := budget.MakeID(w.Name, "")
		if err := p.Budgets.CreateBudget(ctx, id); err != nil {
			return err
		}
		if _, err := p.Budgets.TopUp(ctx, id, "first", p.Spec.TopUp); err != nil {
			return err
		}
		if p.Keys[w.Name], _, err = p.Budgets.IssueKey(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// PartitionRegions starts or ends a partition between the regions. Connections hang
// during a partition and are closed at its end.
func (p *Platform) PartitionRegions(on bool) {
	for _, proxy := range p.regionProxies() {
		proxy.Partition(on)
	}
}

// FreezeRegions permanently stops traffic on the open connections between regions
// without closing them. New connections work.
func (p *Platform) FreezeRegions() {
	for _, proxy := range p.regionProxies() {
		proxy.Freeze()
	}
}

// Routers returns the public base URLs of the routers by name.
func (p *Platform) Routers() map[string]string {
	out := map[string]string{}
	for name, s := range p.ProcessSettings {
		if s.Role == wire.RoleRouter {
			out[name] = "http://" + s.Public.Listen
		}
	}
	return out
}

// CallerURL returns the base URL of a proxy through which callers reach a router
// with the latency Spec.CallerDelay. It returns ErrNoProcess for an unknown router.
func (p *Platform) CallerURL(router string) (string, error) {
	s, ok := p.ProcessSettings[router]
	if !ok || s.Role != wire.RoleRouter {
		return "", fmt.Errorf("%w: %q", ErrNoProcess, router)
	}
	proxy, err := p.proxy(proxyKey{fromCallers, "", router}, s.Public.Listen, p.Spec.CallerDelay)
	if err != nil {
		return "", err
	}
	return "http://" + proxy.Address(), nil
}

// FreezeCallers permanently stops traffic on the open caller connections of a
// router without closing them. It returns ErrNoProcess unless CallerURL was called for
// the router.
func (p *Platform) FreezeCallers(router string) error {
	p.mu.Lock()
	proxy := p.proxies[proxyKey{fromCallers, "", router}]
	p.mu.Unlock()
	if proxy == nil {
		return fmt.Errorf("%w: %q has no callers through a proxy", ErrNoProcess, router)
	}
	proxy.Freeze()
	return nil
}

// CrashEngine crashes the model engine of a server. The engine restarts by itself.
// It returns ErrNoProcess if the server has no engine.
func (p *Platform) CrashEngine(server string) error {
	e := p.Engines[server]
	if e == nil {
		return fmt.Errorf("%w: %q", ErrNoProcess, server)
	}
	e.Crash()
	return nil
}

// Proxy returns the proxy through which a domain reaches a host of its own region,
// or nil if there is none.
func (p *Platform) Proxy(domain, host string) *faultproxy.Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proxies[proxyKey{betweenDomains, domain, host}]
}

// StoreProxy returns the proxy through which a region reaches the store.
func (p *Platform) StoreProxy(region string) *faultproxy.Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proxies[proxyKey{betweenRegions, region, storeTarget}]
}

// regionProxies returns the proxies between two regions. The proxy through which the
// store's own region reaches the store is not one of them.
func (p *Platform) regionProxies() map[proxyKey]*faultproxy.Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[proxyKey]*faultproxy.Proxy{}
	for key, proxy := range p.proxies {
		if key.kind == betweenRegions && (key.target != storeTarget || key.from != p.Spec.StoreRegion) {
			out[key] = proxy
		}
	}
	return out
}

// LinkBytes returns the number of bytes sent between regions so far.
func (p *Platform) LinkBytes() int64 {
	var n int64
	for _, proxy := range p.regionProxies() {
		n += proxy.Bytes()
	}
	return n
}

// Close stops the stand-ins and proxies.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close()
	}
	for _, proxy := range p.proxies {
		proxy.Close()
	}
}

// hostView serves the host list to one domain. It replaces the addresses of hosts
// in other regions by those of proxies. With emulated latencies it also replaces those
// of hosts in other domains, and with Options.ProxyAll those of all hosts.
type hostView struct {
	platform       *Platform
	region, domain string
}

// ServeHTTP implements http.Handler.
func (v *hostView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list, up := v.platform.HostList.Visible()
	if !up {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	seen := make([]hosts.Host, 0, list.Len())
	for _, h := range list.All() {
		address, err := v.addressOf(h)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		h.Address = address
		seen = append(seen, h)
	}
	hostlist.Serve(w, r, hosts.NewList(seen))
}

// addressOf returns the address through which the domain reaches a host.
func (v *hostView) addressOf(h hosts.Host) (string, error) {
	p := v.platform
	key, delay := proxyKey{betweenRegions, v.region, h.Name}, p.Spec.RegionDelay
	switch {
	case h.Region != v.region:
	case h.Domain != v.domain && p.latency || p.proxyAll:
		key, delay = proxyKey{betweenDomains, v.domain, h.Name}, p.Spec.DomainDelay
	default:
		return h.Address, nil
	}
	proxy, err := p.proxy(key, h.Address, delay)
	if err != nil {
		return "", err
	}
	return proxy.Address(), nil
}

// ErrNoProcess means that there is no process with the given name or of the needed kind.
var ErrNoProcess = errors.New("no such process")
