// Package config is a deployment's configuration: typed entries with strict
// decoding and validation, immutable snapshots, differences, and changes by
// compare-and-swap. It does not know how entries are distributed.
package config

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// Limits on values.
const (
	MaxShards        = 1 << 16
	MaxRefusalWeight = 100
	// MaxKeyWindowSeconds bounds the memory that idempotency keys take.
	MaxKeyWindowSeconds = 24 * 3600
	// MaxDeadlineMillis is the longest deadline of a request, one hour.
	MaxDeadlineMillis = 3600 * 1000
	// MaxServiceBodyBytes is the largest request body that the inner protocol
	// carries.
	MaxServiceBodyBytes = 4 << 20
	// MaxPriority bounds the absolute value of a priority.
	MaxPriority = 100
)

// Region is a group of failure domains.
type Region struct {
	Name    string   `json:"name"`
	Domains []string `json:"domains"`
}

// Deployment holds what concerns the whole deployment. There is one entry of it,
// named DeploymentName.
type Deployment struct {
	Name string `json:"name"`
	// Shards is the number of budget shards; it never changes.
	Shards  uint32   `json:"shards"`
	Regions []Region `json:"regions"`
	// StoreRegion is the region of the key-value service.
	StoreRegion string `json:"store_region"`
	// RefusalWeight is the policy weight, from 0 (out-of-reach amounts weigh
	// most) to 100 (false refusals weigh most).
	RefusalWeight int `json:"refusal_weight"`
	// LinkBytesPerSecond limits the traffic of requests between regions.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
	// KeyWindowSeconds is how long idempotency keys are remembered.
	KeyWindowSeconds int64 `json:"key_window_seconds"`
}

// Workspace is a customer with its limits, which hold for the whole deployment.
type Workspace struct {
	Name              string   `json:"name"`
	HomeRegion        string   `json:"home_region"`
	Models            []string `json:"models,omitempty"`
	Services          []string `json:"services,omitempty"`
	MaxConcurrent     int      `json:"max_concurrent"`
	RequestsPerSecond float64  `json:"requests_per_second"`
	// Priority is higher for more urgent work.
	Priority int8 `json:"priority,omitempty"`
}

// Model is a model that engines serve.
type Model struct {
	Name string `json:"name"`
	// PromptTokensPerByte is an upper bound.
	PromptTokensPerByte   float64       `json:"prompt_tokens_per_byte"`
	MessageOverheadTokens budget.Tokens `json:"message_overhead_tokens"`
	MaxOutputTokens       budget.Tokens `json:"max_output_tokens"`
	DeadlineMillis        int64         `json:"deadline_millis"`
}

// Service is a plain service with a fixed price per call.
type Service struct {
	Name        string        `json:"name"`
	PriceTokens budget.Tokens `json:"price_tokens"`
	// IdempotentMethods are the HTTP methods that may be repeated.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	DeadlineMillis    int64    `json:"deadline_millis"`
	MaxBodyBytes      int64    `json:"max_body_bytes"`
}

// Kinds of a Pool.
const (
	PoolModel   = "model"
	PoolService = "service"
)

// Pool is a group of backend servers that serve the same targets.
type Pool struct {
	Name string `json:"name"`
	// Kind is PoolModel or PoolService.
	Kind    string   `json:"kind"`
	Targets []string `json:"targets"`
	// ChecksFence is set if the pool's engines refuse orders with an old fence
	// number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// MinUpShare is the share of the servers that a rollout keeps up, 0 to 1.
	MinUpShare float64 `json:"min_up_share"`
}

// shortName is the form of names that are part of API keys or store keys.
var shortName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// targetName is the form of the names of models, services and pools. A slash is
// excluded because it separates the parts of a store key.
var targetName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

var methodName = regexp.MustCompile(`^[A-Z]{1,16}$`)

// problems collects the faults of one entry.
type problems []error

func (p *problems) check(ok bool, format string, args ...any) {
	if !ok {
		*p = append(*p, fmt.Errorf(format, args...))
	}
}

func (p *problems) name(field, value string, form *regexp.Regexp) {
	p.check(form.MatchString(value), "%s: %q does not match %s", field, value, form)
}

func (p *problems) within(field string, value, low, high int64) {
	p.check(value >= low && value <= high, "%s: %d is not between %d and %d", field, value, low, high)
}

func (p *problems) unique(field string, values []string) {
	sorted := slices.Sorted(slices.Values(values))
	for i := 1; i < len(sorted); i++ {
		p.check(sorted[i] != sorted[i-1], "%s: %q appears twice", field, sorted[i])
	}
}

// Validate returns all faults of the entry, each with the field's name.
func (d Deployment) Validate() error {
	var p problems
	p.name("name", d.Name, shortName)
	p.within("shards", int64(d.Shards), 1, MaxShards)
	p.check(len(d.Regions) > 0, "regions: at least one is needed")
	var regions, domains []string
	for i, r := range d.Regions {
		p.name(fmt.Sprintf("regions[%d].name", i), r.Name, shortName)
		p.check(len(r.Domains) > 0, "regions[%d].domains: at least one is needed", i)
		for j, domain := range r.Domains {
			p.name(fmt.Sprintf("regions[%d].domains[%d]", i, j), domain, shortName)
		}
		regions = append(regions, r.Name)
		domains = append(domains, r.Domains...)
	}
	p.unique("regions", regions)
	p.unique("domains", domains)
	p.check(slices.Contains(regions, d.StoreRegion), "store_region: %q is not one of the regions", d.StoreRegion)
	p.within("refusal_weight", int64(d.RefusalWeight), 0, MaxRefusalWeight)
	p.within("link_bytes_per_second", d.LinkBytesPerSecond, 1, math.MaxInt64)
	p.within("key_window_seconds", d.KeyWindowSeconds, 1, MaxKeyWindowSeconds)
	return errors.Join(p...)
}

// Validate returns all faults of the entry, each with the field's name.
func (w Workspace) Validate() error {
	var p problems
	p.name("name", w.Name, shortName)
	p.name("home_region", w.HomeRegion, shortName)
	p.unique("models", w.Models)
	p.unique("services", w.Services)
	p.within("max_concurrent", int64(w.MaxConcurrent), 1, math.MaxInt32)
	p.check(w.RequestsPerSecond > 0 && w.RequestsPerSecond < 1e9,
		"requests_per_second: %v is not above 0 and below 1e9", w.RequestsPerSecond)
	p.within("priority", int64(w.Priority), -MaxPriority, MaxPriority)
	return errors.Join(p...)
}

// Validate returns all faults of the entry, each with the field's name.
func (m Model) Validate() error {
	var p problems
	p.name("name", m.Name, targetName)
	p.check(m.PromptTokensPerByte > 0 && m.PromptTokensPerByte <= 1,
		"prompt_tokens_per_byte: %v is not above 0 and at most 1", m.PromptTokensPerByte)
	p.within("message_overhead_tokens", int64(m.MessageOverheadTokens), 0, math.MaxInt32)
	p.within("max_output_tokens", int64(m.MaxOutputTokens), 1, math.MaxInt32)
	p.within("deadline_millis", m.DeadlineMillis, 1, MaxDeadlineMillis)
	return errors.Join(p...)
}

// Validate returns all faults of the entry, each with the field's name.
func (s Service) Validate() error {
	var p problems
	p.name("name", s.Name, targetName)
	p.within("price_tokens", int64(s.PriceTokens), 0, math.MaxInt32)
	for i, method := range s.IdempotentMethods {
		p.name(fmt.Sprintf("idempotent_methods[%d]", i), method, methodName)
	}
	p.unique("idempotent_methods", s.IdempotentMethods)
	p.within("deadline_millis", s.DeadlineMillis, 1, MaxDeadlineMillis)
	p.within("max_body_bytes", s.MaxBodyBytes, 0, MaxServiceBodyBytes)
	return errors.Join(p...)
}

// Validate returns all faults of the entry, each with the field's name.
func (l Pool) Validate() error {
	var p problems
	p.name("name", l.Name, targetName)
	p.check(l.Kind == PoolModel || l.Kind == PoolService, "kind: %q is neither %q nor %q", l.Kind, PoolModel, PoolService)
	p.check(len(l.Targets) > 0, "targets: at least one is needed")
	p.unique("targets", l.Targets)
	p.check(l.MinUpShare >= 0 && l.MinUpShare <= 1, "min_up_share: %v is not between 0 and 1", l.MinUpShare)
	return errors.Join(p...)
}
