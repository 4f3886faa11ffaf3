// Package config defines a deployment's configuration: typed entries with strict decoding
// and validation, immutable snapshots, diffs, and writes by compare-and-swap. Package ctl
// writes the configuration, package syncer distributes it, and routers and agents read its
// snapshots. It must not depend on how entries are distributed.
package config

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

const (
	// MaxShards is the largest number of budget shards.
	MaxShards = 1 << 16
	// MaxRefusalWeight is the largest refusal weight.
	MaxRefusalWeight = 100
	// MaxKeyWindowSeconds is the largest Deployment.KeyWindowSeconds, one day. It is meant
	// to limit the memory that idempotency keys take, but KeyWindowSeconds has no effect.
	MaxKeyWindowSeconds = 24 * 3600
	// MaxDeadlineMillis is the longest deadline of a request, one hour.
	MaxDeadlineMillis = 3600 * 1000
	// MaxServiceBodyBytes is the largest request body that the protocol between routers and
	// agents supports.
	MaxServiceBodyBytes = 4 << 20
	// MaxPriority is the largest absolute value of a priority.
	MaxPriority = 100
)

// Region is a group of failure domains.
type Region struct {
	Name    string   `json:"name"`
	Domains []string `json:"domains"`
}

// Deployment holds the settings of the whole deployment. Its only entry is named
// DeploymentName.
type Deployment struct {
	Name string `json:"name"`
	// Shards is the number of budget shards. It cannot be changed once it is set,
	// because budgets would move to other shards.
	Shards  uint32   `json:"shards"`
	Regions []Region `json:"regions"`
	// StoreRegion is the region of the key-value service.
	StoreRegion string `json:"store_region"`
	// RefusalWeight, from 0 to MaxRefusalWeight, balances two risks. With a higher weight
	// fewer requests are refused although balance is left, because callers wait longer and
	// more is granted in advance, but a failure puts larger amounts out of reach. It never
	// changes what may be spent; see budget.Policy.
	RefusalWeight int `json:"refusal_weight"`
	// LinkBytesPerSecond limits the traffic, requests and responses together, between the
	// routers of one region and backend servers of other regions.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
	// KeyWindowSeconds is how long a repeated idempotency key is recognized. It has no
	// effect: package holder uses its own constant KeyRetention.
	KeyWindowSeconds int64 `json:"key_window_seconds"`
}

// Workspace is a customer and its limits, which apply to the whole deployment.
type Workspace struct {
	Name              string   `json:"name"`
	HomeRegion        string   `json:"home_region"`
	Models            []string `json:"models,omitempty"`
	Services          []string `json:"services,omitempty"`
	MaxConcurrent     int      `json:"max_concurrent"`
	RequestsPerSecond float64  `json:"requests_per_second"`
	// Priority is larger for more urgent requests.
	Priority int8 `json:"priority,omitempty"`
}

// Model is a language model. The backend servers of models are called engines.
type Model struct {
	Name string `json:"name"`
	// PromptTokensPerByte is an upper bound on the prompt tokens per byte of a prompt.
	PromptTokensPerByte float64 `json:"prompt_tokens_per_byte"`
	// MessageOverheadTokens is the maximum number of tokens that the chat template adds
	// for a message.
	MessageOverheadTokens budget.Tokens `json:"message_overhead_tokens"`
	// MaxOutputTokens is the largest limit on output tokens that a request may set.
	MaxOutputTokens budget.Tokens `json:"max_output_tokens"`
	// DeadlineMillis is the maximum duration of a request.
	DeadlineMillis int64 `json:"deadline_millis"`
}

// Service is a plain service, that is an HTTP service that is not a model, with a fixed price
// per call.
type Service struct {
	Name        string        `json:"name"`
	PriceTokens budget.Tokens `json:"price_tokens"`
	// IdempotentMethods are the HTTP methods whose requests may be retried.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// DeadlineMillis is the maximum duration of a call.
	DeadlineMillis int64 `json:"deadline_millis"`
	// MaxBodyBytes is the maximum size of a request body. 0 means MaxServiceBodyBytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Values of Pool.Kind.
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
	// ChecksFence is set if the pool's engines reject commands with a stale fencing
	// token. It has no effect.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// MinUpShare is the minimum fraction of the servers, 0 to 1, that must stay up during a
	// rollout. It is validated but has no effect.
	MinUpShare float64 `json:"min_up_share"`
}

// shortNamePattern matches the names of deployments, regions, failure domains and
// workspaces. It excludes underscores and slashes, which separate the parts of API keys and
// of store keys.
var shortNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// targetNamePattern matches the names of models, services and pools. It excludes slashes,
// which separate the parts of a store key.
var targetNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)

// validation collects validation errors.
type validation []error

func (v *validation) check(ok bool, format string, args ...any) {
	if !ok {
		*v = append(*v, fmt.Errorf(format, args...))
	}
}

func (v *validation) matches(field, value string, pattern *regexp.Regexp) {
	v.check(pattern.MatchString(value), "%s: %q does not match %s", field, value, pattern)
}

func (v *validation) within(field string, value, low, high int64) {
	v.check(value >= low && value <= high, "%s: %d is not between %d and %d", field, value, low, high)
}

func (v *validation) unique(field string, values []string) {
	sorted := slices.Sorted(slices.Values(values))
	for i := 1; i < len(sorted); i++ {
		v.check(sorted[i] != sorted[i-1], "%s: %q appears twice", field, sorted[i])
	}
}

// Validate returns an error that joins all invalid fields, each with its name, or nil.
func (d Deployment) Validate() error {
	var v validation
	v.matches("name", d.Name, shortNamePattern)
	v.within("shards", int64(d.Shards), 1, MaxShards)
	v.check(len(d.Regions) > 0, "regions: at least one is required")
	var regions, domains []string
	for i, r := range d.Regions {
		v.matches(fmt.Sprintf("regions[%d].name", i), r.Name, shortNamePattern)
		v.check(len(r.Domains) > 0, "regions[%d].domains: at least one is required", i)
		for j, domain := range r.Domains {
			v.matches(fmt.Sprintf("regions[%d].domains[%d]", i, j), domain, shortNamePattern)
		}
		regions = append(regions, r.Name)
		domains = append(domains, r.Domains...)
	}
	v.unique("regions", regions)
	v.unique("domains", domains)
	v.check(slices.Contains(regions, d.StoreRegion), "store_region: %q is not one of the regions", d.StoreRegion)
	v.within("refusal_weight", int64(d.RefusalWeight), 0, MaxRefusalWeight)
	v.within("link_bytes_per_second", d.LinkBytesPerSecond, 1, math.MaxInt64)
	v.within("key_window_seconds", d.KeyWindowSeconds, 1, MaxKeyWindowSeconds)
	return errors.Join(v...)
}

// Validate returns an error that joins all invalid fields, each with its name, or nil.
func (w Workspace) Validate() error {
	var v validation
	v.matches("name", w.Name, shortNamePattern)
	v.matches("home_region", w.HomeRegion, shortNamePattern)
	v.unique("models", w.Models)
	v.unique("services", w.Services)
	v.within("max_concurrent", int64(w.MaxConcurrent), 1, math.MaxInt32)
	v.check(w.RequestsPerSecond > 0 && w.RequestsPerSecond < 1e9,
		"requests_per_second: %v is not above 0 and below 1e9", w.RequestsPerSecond)
	v.within("priority", int64(w.Priority), -MaxPriority, MaxPriority)
	return errors.Join(v...)
}

// Validate returns an error that joins all invalid fields, each with its name, or nil.
func (m Model) Validate() error {
	var v validation
	v.matches("name", m.Name, targetNamePattern)
	v.check(m.PromptTokensPerByte > 0 && m.PromptTokensPerByte <= 1,
		"prompt_tokens_per_byte: %v is not above 0 and at most 1", m.PromptTokensPerByte)
	v.within("message_overhead_tokens", int64(m.MessageOverheadTokens), 0, math.MaxInt32)
	v.within("max_output_tokens", int64(m.MaxOutputTokens), 1, math.MaxInt32)
	v.within("deadline_millis", m.DeadlineMillis, 1, MaxDeadlineMillis)
	return errors.Join(v...)
}

// Validate returns an error that joins all invalid fields, each with its name, or nil.
func (s Service) Validate() error {
	var v validation
	v.matches("name", s.Name, targetNamePattern)
	v.within("price_tokens", int64(s.PriceTokens), 0, math.MaxInt32)
	for i, method := range s.IdempotentMethods {
		v.matches(fmt.Sprintf("idempotent_methods[%d]", i), method, methodPattern)
	}
	v.unique("idempotent_methods", s.IdempotentMethods)
	v.within("deadline_millis", s.DeadlineMillis, 1, MaxDeadlineMillis)
	v.within("max_body_bytes", s.MaxBodyBytes, 0, MaxServiceBodyBytes)
	return errors.Join(v...)
}

// Validate returns an error that joins all invalid fields, each with its name, or nil.
func (p Pool) Validate() error {
	var v validation
	v.matches("name", p.Name, targetNamePattern)
	v.check(p.Kind == PoolModel || p.Kind == PoolService, "kind: %q is neither %q nor %q", p.Kind, PoolModel, PoolService)
	v.check(len(p.Targets) > 0, "targets: at least one is required")
	v.unique("targets", p.Targets)
	v.check(p.MinUpShare >= 0 && p.MinUpShare <= 1, "min_up_share: %v is not between 0 and 1", p.MinUpShare)
	return errors.Join(v...)
}
