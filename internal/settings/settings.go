// Package settings reads the settings file of a process: who it is, where it
// listens and which services it reaches. What all processes of a deployment
// share is configuration and lives in the store.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Settings are the settings of one process.
type Settings struct {
	// Role selects what the process does: "router", "agent", "gate"
	// or "relay".
	Role wire.Role `yaml:"role"`
	// Name is the host's name in the platform's host list.
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	// Domain is the host's failure domain.
	Domain    string    `yaml:"domain"`
	Inner     Inner     `yaml:"inner"`
	Public    Public    `yaml:"public"`
	Agent     Agent     `yaml:"agent"`
	Store     Store     `yaml:"store"`
	HostList  HostList  `yaml:"host_list"`
	Gate      Gate      `yaml:"gate"`
	Relay     Relay     `yaml:"relay"`
	Telemetry Telemetry `yaml:"telemetry"`
	// DrainTimeout bounds a planned stop. After it the process goes on draining
	// but reports that it is late.
	DrainTimeout Duration `yaml:"drain_timeout"`
}

// Inner describes the listener for other processes of the deployment.
type Inner struct {
	// Listen and Advertise are "IP:port"; Advertise defaults to Listen.
	Listen    string `yaml:"listen"`
	Advertise string `yaml:"advertise"`
	// SecretFile holds the deployment's shared secret.
	SecretFile string `yaml:"secret_file"`
	TLS        TLS    `yaml:"tls"`
}

// TLS names certificate files. They are read again when they change.
type TLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	// CAFile, for the inner listener, holds the authority that signs the
	// certificates of all processes.
	CAFile string `yaml:"ca_file"`
}

// Enabled reports whether TLS is set up.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Public describes a router's listener for callers.
type Public struct {
	Listen string `yaml:"listen"`
	TLS    TLS    `yaml:"tls"`
	// MaxConnections bounds concurrent connections of callers.
	MaxConnections int `yaml:"max_connections"`
	// MaxConcurrent bounds requests in progress on this router.
	MaxConcurrent int `yaml:"max_concurrent"`
}

// Agent describes the backend server beside an agent.
type Agent struct {
	// Pool names what the server serves; see the configuration's pools.
	Pool string `yaml:"pool"`
	// Kind is "model" or "service".
	Kind string `yaml:"kind"`
	// URL is the server's address as "http://IP:port".
	URL string `yaml:"url"`
	// Slots is the number of requests that the server runs at once.
	Slots int `yaml:"slots"`
}

// Store describes how to reach the platform's key-value service.
type Store struct {
	Endpoints []string `yaml:"endpoints"`
	Timeout   Duration `yaml:"timeout"`
}

// HostList describes how to reach the platform's host list.
type HostList struct {
	URL  string   `yaml:"url"`
	Poll Duration `yaml:"poll"`
}

// Telemetry describes metrics, status and traces.
type Telemetry struct {
	// Listen is the "IP:port" of the metrics and status pages, empty for none.
	Listen string `yaml:"listen"`
	Traces Traces `yaml:"traces"`
}

// Traces describes where spans go. With neither target no spans are made.
type Traces struct {
	// OTLPEndpoint is the base URL of an OTLP/HTTP collector.
	OTLPEndpoint string `yaml:"otlp_endpoint"`
	// File receives spans as JSON lines.
	File string `yaml:"file"`
	// SampleShare is the share of requests traced, 0 to 1.
	SampleShare float64 `yaml:"sample_share"`
}

// Duration is a time.Duration written with a unit, such as "2s".
type Duration time.Duration

// UnmarshalYAML implements yaml.NodeUnmarshaler. A number without a unit is an
// error that names the line.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	token := node.GetToken()
	parsed, err := time.ParseDuration(token.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration with a unit, such as 2s or 500ms",
			token.Position.Line, token.Value)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML implements yaml.InterfaceMarshaler.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Default returns the settings that apply where a file is silent.
func Default() Settings {
	return Settings{
		Public:       Public{MaxConnections: 4096, MaxConcurrent: 2048},
		Agent:        Agent{Slots: 16},
		Store:        Store{Timeout: Duration(2 * time.Second)},
		HostList:     HostList{Poll: Duration(time.Second)},
		Telemetry:    Telemetry{Traces: Traces{SampleShare: 1}},
		Gate:         defaultGate(),
		DrainTimeout: Duration(5 * time.Minute),
	}
}

// Load reads and checks a settings file. Its errors name the file and, where it
// is known, the line.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and checks settings. Unknown keys are errors.
func Parse(data []byte) (Settings, error) {
	s := Default()
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return Settings{}, errors.New(yaml.FormatError(err, false, true))
	}
	if s.Inner.Advertise == "" {
		s.Inner.Advertise = s.Inner.Listen
	}
	c := &checker{data: data}
	c.check(&s)
	return s, errors.Join(c.errs...)
}

// checker collects the faults of decoded settings with their lines.
type checker struct {
	data []byte
	errs []error
}

func (c *checker) fail(path, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s%s: %s", c.position(path), path, fmt.Sprintf(format, args...)))
}

// position returns "line N: " for a key that the file has.
func (c *checker) position(path string) string {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return ""
	}
	file, err := p.ReadNode(bytes.NewReader(c.data))
	if err != nil || file == nil {
		return ""
	}
	return fmt.Sprintf("line %d: ", file.GetToken().Position.Line)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (c *checker) check(s *Settings) {
	c.name("name", s.Name)
	c.name("region", s.Region)
	c.name("domain", s.Domain)
	c.address("telemetry.listen", s.Telemetry.Listen, false)
	if share := s.Telemetry.Traces.SampleShare; share < 0 || share > 1 {
		c.fail("telemetry.traces.sample_share", "must be between 0 and 1")
	}
	c.positive("drain_timeout", s.DrainTimeout)
	switch s.Role {
	case wire.RoleRouter:
		c.inner(s)
		c.router(s)
	case wire.RoleAgent:
		c.inner(s)
		c.agent(s)
	case wire.RoleGate:
		c.gate(s)
	case wire.RoleRelay:
		c.relay(s)
	default:
		c.fail("role", "must be router, agent, gate or relay")
	}
}

// inner checks what routers and agents need to meet each other.
func (c *checker) inner(s *Settings) {
	c.address("inner.listen", s.Inner.Listen, true)
	c.address("inner.advertise", s.Inner.Advertise, true)
	if s.Inner.SecretFile == "" && !s.Inner.TLS.Enabled() {
		c.fail("inner.secret_file", "a shared secret or TLS is needed")
	}
	c.tls("inner.tls", s.Inner.TLS, true)
	c.platform(s)
}

func (c *checker) platform(s *Settings) {
	if len(s.Store.Endpoints) == 0 {
		c.fail("store.endpoints", "at least one URL is needed")
	}
	for i, endpoint := range s.Store.Endpoints {
		c.url(fmt.Sprintf("store.endpoints[%d]", i), endpoint)
	}
	c.positive("store.timeout", s.Store.Timeout)
	c.url("host_list.url", s.HostList.URL)
	c.positive("host_list.poll", s.HostList.Poll)
}

func (c *checker) router(s *Settings) {
	c.address("public.listen", s.Public.Listen, true)
	c.tls("public.tls", s.Public.TLS, false)
	if s.Public.MaxConnections <= 0 {
		c.fail("public.max_connections", "must be above 0")
	}
	if s.Public.MaxConcurrent <= 0 {
		c.fail("public.max_concurrent", "must be above 0")
	}
}

func (c *checker) agent(s *Settings) {
	c.name("agent.pool", s.Agent.Pool)
	if s.Agent.Kind != "model" && s.Agent.Kind != "service" {
		c.fail("agent.kind", "must be model or service")
	}
	c.url("agent.url", s.Agent.URL)
	if s.Agent.Slots <= 0 {
		c.fail("agent.slots", "must be above 0")
	}
}

func (c *checker) name(path, value string) {
	if !namePattern.MatchString(value) {
		c.fail(path, "%q is not a name of lower-case letters, digits and hyphens", value)
	}
}

// address checks an "IP:port". Host names are refused: processes meet their
// peers by IP number.
func (c *checker) address(path, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(path, "%q is not an IP address with a port", value)
	}
}

func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fail(path, "%q is not an http or https URL", value)
	}
}

func (c *checker) positive(path string, d Duration) {
	if d <= 0 {
		c.fail(path, "must be above 0")
	}
}

func (c *checker) tls(path string, t TLS, mutual bool) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		c.fail(path, "cert_file and key_file go together")
	}
	if mutual && t.Enabled() && t.CAFile == "" {
		c.fail(path+".ca_file", "needed for mutual authentication")
	}
}
