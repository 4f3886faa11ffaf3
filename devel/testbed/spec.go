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
	// Routers, Models and Services are host counts; Models and Services count the
	// hosts with an agent in front of a model engine or a plain service.
	Routers, Models, Services int
}

// Spec describes a deployment.
type Spec struct {
	Name    string
	Domains []Domain
	// StoreRegion is the region of the key-value store.
	StoreRegion string
	// DomainDelay, RegionDelay and ClientDelay are one-way latencies.
	DomainDelay, RegionDelay, ClientDelay time.Duration
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

// Yukimi returns the current size of the rota, ordering and menu deployment, whose
// refusal weight favours avoiding false refusals.
func Yukimi() Spec {
	s := Spec{
		Name: "yukimi", StoreRegion: "doo-central", Shards: 4, RefusalWeight: 80,
		Domains: []Domain{
			{Name: "sapporo-a", Region: "doo-central", Routers: 2, Models: 8, Services: 1},
			{Name: "asahikawa-a", Region: "doo-central", Routers: 1, Models: 6, Services: 1},
			{Name: "kushiro-a", Region: "doo-east", Routers: 2, Models: 6, Services: 1},
		},
		DomainDelay: time.Millisecond, RegionDelay: 12 * time.Millisecond, ClientDelay: 3 * time.Millisecond,
	}
	return s.withDefaults("menu-planner", "rota")
}

// Armor returns the current size of the rounds, letters and ledger deployment,
// whose refusal weight favours avoiding overspend.
func Armor() Spec {
	s := Spec{
		Name: "armor", StoreRegion: "finistere", Shards: 4, RefusalWeight: 20,
		Domains: []Domain{
			{Name: "quimper", Region: "finistere", Routers: 2, Models: 8, Services: 1},
			{Name: "brest", Region: "finistere", Routers: 1, Models: 6, Services: 1},
			{Name: "rennes", Region: "ille-vilaine", Routers: 2, Models: 6, Services: 1},
		},
		DomainDelay: 500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, ClientDelay: 3 * time.Millisecond,
	}
	return s.withDefaults("drafting", "ledger")
}

// ByName returns the Spec of the deployment called name.
func ByName(name string) (Spec, error) {
	switch name {
	case "yukimi":
		return Yukimi(), nil
	case "armor":
		return Armor(), nil
	}
	return Spec{}, fmt.Errorf("no deployment %q: yukimi and armor exist", name)
}

// Small returns a copy of s with one router, two model servers and one
// plain-service server per domain.
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

// Changes returns the changes that create the deployment's configuration.
func (s Spec) Changes() ([]config.EntryWrite, error) {
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
	b := changeList{}
	b.put(config.SectionDeployment, config.DeploymentName, deployment)
	b.put(config.SectionModel, s.Model.Name, s.Model)
	b.put(config.SectionService, s.Service.Name, s.Service)
	b.put(config.SectionPool, ModelPool, config.Pool{
		Name: ModelPool, Kind: config.PoolModel, Targets: []string{s.Model.Name}, ChecksFence: true, MinUpShare: 0.5,
	})
	b.put(config.SectionPool, ServicePool, config.Pool{
		Name: ServicePool, Kind: config.PoolService, Targets: []string{s.Service.Name}, MinUpShare: 0.5,
	})
	for _, w := range s.Workspaces {
		b.put(config.SectionWorkspace, w.Name, w)
	}
	return b.changes, b.err
}

// Pool names.
const (
	ModelPool   = "models"
	ServicePool = "services"
)

type changeList struct {
	changes []config.EntryWrite
	err     error
}

func (l *changeList) put(section, name string, value any) {
	change, err := config.NewPut(section, name, value)
	if err != nil && l.err == nil {
		l.err = err
	}
	l.changes = append(l.changes, change)
}
