// Package testbed runs a small deployment inside one process for tests and the
// demonstration: stand-ins for the platform and the backend servers, the routers
// and agents, and the configuration and budgets of one of the two deployments.
package testbed

import (
	"fmt"
	"slices"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
)

// Domain is a failure domain of a Spec.
type Domain struct {
	Name, Region string
	// Routers is the number of routers. Models and Services are the numbers of model
	// engines and of plain services, each with an agent.
	Routers, Models, Services int
}

// Spec describes a deployment.
type Spec struct {
	Name    string
	Domains []Domain
	// StoreRegion is the region of the key-value store.
	StoreRegion string
	// DomainDelay, RegionDelay and CallerDelay are one-way latencies.
	DomainDelay, RegionDelay, CallerDelay time.Duration
	// LinkBytesPerSecond is the bandwidth between regions in each direction.
	LinkBytesPerSecond int64
	Shards             uint32
	RefusalWeight      int
	Model              config.Model
	Service            config.Service
	Workspaces         []config.Workspace
	// TopUp is the initial payment into each workspace's default budget.
	TopUp budget.Tokens
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int
}

const linkBytesPerSecond = 30_000_000 / 8 // 30 Mbit/s

// Yukimi returns the deployment for rota, ordering and menu planning in its current
// size. Its refusal weight gives more weight to false refusals than to balance out of
// reach.
func Yukimi() Spec {
	s := Spec{
		Name: "yukimi", StoreRegion: "doo-central", Shards: 4, RefusalWeight: 80,
		Domains: []Domain{
			{Name: "sapporo-a", Region: "doo-central", Routers: 2, Models: 8, Services: 1},
			{Name: "asahikawa-a", Region: "doo-central", Routers: 1, Models: 6, Services: 1},
			{Name: "kushiro-a", Region: "doo-east", Routers: 2, Models: 6, Services: 1},
		},
		DomainDelay: time.Millisecond, RegionDelay: 12 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
	}
	return s.withDefaults("menu-planner", "rota")
}

// Armor returns the deployment for round planning, letters and refill records in its
// current size. Its refusal weight gives more weight to balance out of reach than to
// false refusals.
func Armor() Spec {
	s := Spec{
		Name: "armor", StoreRegion: "finistere", Shards: 4, RefusalWeight: 20,
		Domains: []Domain{
			{Name: "quimper", Region: "finistere", Routers: 2, Models: 8, Services: 1},
			{Name: "brest", Region: "finistere", Routers: 1, Models: 6, Services: 1},
			{Name: "rennes", Region: "ille-vilaine", Routers: 2, Models: 6, Services: 1},
		},
		DomainDelay: 500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
	}
	return s.withDefaults("drafting", "ledger")
}

// ByName returns the Spec of the deployment called name, "yukimi" or "armor".
func ByName(name string) (Spec, error) {
	switch name {
	case "yukimi":
		return Yukimi(), nil
	case "armor":
		return Armor(), nil
	}
	return Spec{}, fmt.Errorf("unknown deployment %q: must be yukimi or armor", name)
}

// Small returns a copy of s with one router, two model engines and one plain service
// per domain.
func (s Spec) Small() Spec {
	s.Domains = slices.Clone(s.Domains)
	for i := range s.Domains {
		s.Domains[i].Routers, s.Domains[i].Models, s.Domains[i].Services = 1, 2, 1
	}
	return s
}

const workspaceCount = 10

func (s Spec) withDefaults(model, service string) Spec {
	s.LinkBytesPerSecond = linkBytesPerSecond
	s.TopUp, s.Slots = 2_000_000, 16
	s.Model = config.Model{
		Name: model, PromptTokensPerByte: 0.5, MessageOverheadTokens: 8,
		MaxOutputTokens: 4096, DeadlineMillis: 60_000,
	}
	s.Service = config.Service{
		Name: service, PriceTokens: 10, IdempotentMethods: []string{"GET", "HEAD"},
		DeadlineMillis: 15_000, MaxBodyBytes: 1 << 20,
	}
	regions := s.RegionNames()
	for i := range workspaceCount {
		s.Workspaces = append(s.Workspaces, config.Workspace{
			Name: fmt.Sprintf("%s-%02d", s.Name, i), HomeRegion: regions[i%len(regions)],
			Models: []string{model}, Services: []string{service},
			MaxConcurrent: 256, RequestsPerSecond: 200,
		})
	}
	return s
}

// RegionNames returns the distinct regions in the order of Domains.
func (s Spec) RegionNames() []string {
	var out []string
	for _, d := range s.Domains {
		if !slices.Contains(out, d.Region) {
			out = append(out, d.Region)
		}
	}
	return out
}

// ConfigWrites returns the writes that create the deployment's configuration.
func (s Spec) ConfigWrites() ([]config.EntryWrite, error) {
	deployment := config.Deployment{
		Name: s.Name, Shards: s.Shards, StoreRegion: s.StoreRegion, RefusalWeight: s.RefusalWeight,
		LinkBytesPerSecond: s.LinkBytesPerSecond, KeyWindowSeconds: 3600,
	}
	for _, region := range s.RegionNames() {
		r := config.Region{Name: region}
		for _, d := range s.Domains {
			if d.Region == region {
				r.Domains = append(r.Domains, d.Name)
			}
		}
		deployment.Regions = append(deployment.Regions, r)
	}
	list := writeList{}
	list.put(config.SectionDeployment, config.DeploymentName, deployment)
	list.put(config.SectionModel, s.Model.Name, s.Model)
	list.put(config.SectionService, s.Service.Name, s.Service)
	list.put(config.SectionPool, ModelPool, config.Pool{
		Name: ModelPool, Kind: config.PoolModel, Targets: []string{s.Model.Name}, ChecksFence: true, MinUpShare: 0.5,
	})
	list.put(config.SectionPool, ServicePool, config.Pool{
		Name: ServicePool, Kind: config.PoolService, Targets: []string{s.Service.Name}, MinUpShare: 0.5,
	})
	for _, w := range s.Workspaces {
		list.put(config.SectionWorkspace, w.Name, w)
	}
	return list.writes, list.err
}

// Pool names.
const (
	ModelPool   = "models"
	ServicePool = "services"
)

type writeList struct {
	writes []config.EntryWrite
	err    error
}

func (l *writeList) put(section, name string, value any) {
	write, err := config.NewPut(section, name, value)
	if err != nil && l.err == nil {
		l.err = err
	}
	l.writes = append(l.writes, write)
}
