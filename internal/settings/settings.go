// Package settings reads and validates the settings file of a process: its identity, its
// listeners and the services that it connects to. It is called by cmd/monsoond, by package
// daemon and by package testbed, which writes settings files. Configuration that all processes
// of a deployment share is in the store; see package config.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/monsoonworks/monsoonworks/internal/limitio"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// Settings are the settings of one process.
type Settings struct {
	// Role is the kind of process: "router", "agent", "gate" or "relay".
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
	// DrainTimeout limits one drain attempt of a planned stop. When it is exceeded, routers
	// and agents log a warning and start another attempt, while gates and relays stop.
	DrainTimeout Duration `yaml:"drain_timeout"`
}

// Inner holds the settings of the listener for other processes of the deployment, and the
// credentials for sessions with them.
type Inner struct {
	// Listen and Advertise are "IP:port". Advertise is the address that peers dial; it
	// defaults to Listen.
	Listen    string `yaml:"listen"`
	Advertise string `yaml:"advertise"`
	// SecretFile is the path of the file with the deployment's shared secret.
	SecretFile string `yaml:"secret_file"`
	TLS        TLS    `yaml:"tls"`
}

// TLS holds the paths of certificate files. When CertFile changes, it is reloaded together
// with KeyFile. A changed CAFile takes effect only at a restart.
type TLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	// CAFile holds the certificate of the authority that signs the certificates of all
	// processes. Only sessions between processes use it.
	CAFile string `yaml:"ca_file"`
}

// Enabled reports whether a certificate is configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Public holds the settings of a router's listener for callers.
type Public struct {
	Listen string `yaml:"listen"`
	TLS    TLS    `yaml:"tls"`
	// MaxConnections limits the callers' open connections.
	MaxConnections int `yaml:"max_connections"`
	// MaxConcurrent limits the requests in progress on this router.
	MaxConcurrent int `yaml:"max_concurrent"`
}

// Agent holds the settings of an agent, which describe the backend server on its host.
type Agent struct {
	// Pool is the name of the server's pool in the configuration.
	Pool string `yaml:"pool"`
	// Kind is "model" or "service".
	Kind string `yaml:"kind"`
	// URL is the server's base URL, such as "http://192.0.2.1:8000".
	URL string `yaml:"url"`
	// Slots is the maximum number of requests that the server runs concurrently.
	Slots int `yaml:"slots"`
}

// Store holds the settings of routers and agents for the platform's key-value service.
type Store struct {
	// Endpoints are base URLs, such as "http://192.0.2.1:2379".
	Endpoints []string `yaml:"endpoints"`
	// Timeout is the timeout of one attempt of a call.
	Timeout Duration `yaml:"timeout"`
}

// HostList holds the settings of routers and agents for the platform's host list.
type HostList struct {
	URL string `yaml:"url"`
	// Poll is validated but has no effect: package syncer reads the list at an interval of
	// its own.
	Poll Duration `yaml:"poll"`
}

// Telemetry holds the settings of metrics and traces.
type Telemetry struct {
	// Listen is the "IP:port" of the metrics page, empty for none.
	Listen string `yaml:"listen"`
	Traces Traces `yaml:"traces"`
}

// Traces holds the exporters of spans. Without an exporter no spans are recorded.
type Traces struct {
	// OTLPEndpoint is the base URL of an OTLP/HTTP collector.
	OTLPEndpoint string `yaml:"otlp_endpoint"`
	// File is the path of the file to which spans are appended as JSON lines.
	File string `yaml:"file"`
	// SampleShare is the fraction of requests that are traced, 0 to 1.
	SampleShare float64 `yaml:"sample_share"`
}

// Duration is a time.Duration that is written with a unit in settings files, such as "2s".
type Duration time.Duration

// UnmarshalYAML implements yaml.NodeUnmarshaler. A number without a unit is an error, which
// names the line.
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

// Default returns the settings that apply to keys that a file omits.
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

// Load reads and validates a settings file. Its errors name the file and, if it is known,
// the line.
func Load(path string) (Settings, error) {
	data, err := limitio.ReadFile(path, maxFileBytes)
	if err != nil {
		return Settings{}, err
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// maxFileBytes limits a settings file.
const maxFileBytes = 1 << 20

// Parse decodes and validates settings. Unknown keys are errors.
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

// checker collects the validation errors of decoded settings with their line numbers.
type checker struct {
	data []byte
	errs []error
}

// addError adds an error about the key at path, such as "store.timeout".
func (c *checker) addError(path, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s%s: %s", c.position(path), path, fmt.Sprintf(format, args...)))
}

// position returns "line N: " for a key in the file, or "" if the file omits it.
func (c *checker) position(path string) string {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return ""
	}
	node, err := p.ReadNode(bytes.NewReader(c.data))
	if err != nil || node == nil {
		return ""
	}
	return fmt.Sprintf("line %d: ", node.GetToken().Position.Line)
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func (c *checker) check(s *Settings) {
	c.checkName("name", s.Name)
	c.checkName("region", s.Region)
	c.checkName("domain", s.Domain)
	c.checkAddress("telemetry.listen", s.Telemetry.Listen, false)
	if share := s.Telemetry.Traces.SampleShare; share < 0 || share > 1 {
		c.addError("telemetry.traces.sample_share", "must be between 0 and 1")
	}
	c.checkPositive("drain_timeout", s.DrainTimeout)
	switch s.Role {
	case wire.RoleRouter:
		c.checkInner(s)
		c.checkRouter(s)
	case wire.RoleAgent:
		c.checkInner(s)
		c.checkAgent(s)
	case wire.RoleGate:
		c.checkGate(s)
	case wire.RoleRelay:
		c.checkRelay(s)
	default:
		c.addError("role", "must be router, agent, gate or relay")
	}
}

// checkInner checks the settings that routers and agents have in common.
func (c *checker) checkInner(s *Settings) {
	c.checkAddress("inner.listen", s.Inner.Listen, true)
	c.checkAddress("inner.advertise", s.Inner.Advertise, true)
	if s.Inner.SecretFile == "" && !s.Inner.TLS.Enabled() {
		c.addError("inner.secret_file", "a shared secret or TLS is required")
	}
	c.checkTLS("inner.tls", s.Inner.TLS, true)
	c.checkPlatform(s)
}

// checkPlatform checks the settings of the platform's services: the store and the host list.
func (c *checker) checkPlatform(s *Settings) {
	if len(s.Store.Endpoints) == 0 {
		c.addError("store.endpoints", "at least one URL is required")
	}
	for i, endpoint := range s.Store.Endpoints {
		c.checkURL(fmt.Sprintf("store.endpoints[%d]", i), endpoint)
	}
	c.checkPositive("store.timeout", s.Store.Timeout)
	c.checkURL("host_list.url", s.HostList.URL)
	c.checkPositive("host_list.poll", s.HostList.Poll)
}

func (c *checker) checkRouter(s *Settings) {
	c.checkAddress("public.listen", s.Public.Listen, true)
	c.checkTLS("public.tls", s.Public.TLS, false)
	if s.Public.MaxConnections <= 0 {
		c.addError("public.max_connections", "must be above 0")
	}
	if s.Public.MaxConcurrent <= 0 {
		c.addError("public.max_concurrent", "must be above 0")
	}
}

func (c *checker) checkAgent(s *Settings) {
	c.checkName("agent.pool", s.Agent.Pool)
	if s.Agent.Kind != "model" && s.Agent.Kind != "service" {
		c.addError("agent.kind", "must be model or service")
	}
	c.checkURL("agent.url", s.Agent.URL)
	if s.Agent.Slots <= 0 {
		c.addError("agent.slots", "must be above 0")
	}
}

func (c *checker) checkName(path, value string) {
	if !namePattern.MatchString(value) {
		c.addError(path, "%q is not a name of lower-case letters, digits and hyphens", value)
	}
}

// checkAddress checks an "IP:port". Host names are rejected, because processes address their
// peers by IP address.
func (c *checker) checkAddress(path, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addError(path, "%q is not an IP address with a port", value)
	}
}

func (c *checker) checkURL(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.addError(path, "%q is not an http or https URL", value)
	}
}

func (c *checker) checkPositive(path string, d Duration) {
	if d <= 0 {
		c.addError(path, "must be above 0")
	}
}

// checkTLS checks the settings of a listener. mutual is set if its peers need certificates
// too.
func (c *checker) checkTLS(path string, t TLS, mutual bool) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		c.addError(path, "cert_file and key_file must be set together")
	}
	if mutual && t.Enabled() && t.CAFile == "" {
		c.addError(path+".ca_file", "required for mutual TLS")
	}
}
