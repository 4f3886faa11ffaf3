package settings

import "time"

const maxPort = 65535

// Gate describes a gate: its listeners, the platform's store, and the bounds that
// the operators set.
type Gate struct {
	// Listen is the "IP:port" for callers, ReadyListen that of the readiness check.
	// RelayPort is the port of the relays beside backend servers, 0 if there are
	// none.
	Listen      string `yaml:"listen"`
	ReadyListen string `yaml:"ready_listen"`
	RelayPort   int    `yaml:"relay_port"`
	// Store is the "IP:port" of the platform's store.
	Store string `yaml:"store"`
	// Regions gives the region of each failure domain.
	Regions map[string]string `yaml:"regions"`
	// RetryShare is the share of requests to a service that all gates together may
	// send again, and RetrySlack the number of retries in 10 s that is allowed
	// besides.
	RetryShare float64 `yaml:"retry_share"`
	RetrySlack float64 `yaml:"retry_slack"`
	// MemoryMB bounds the process's memory, in megabytes.
	MemoryMB int `yaml:"memory_mb"`
	// LinkMbps is the rate of the host's link each way, in megabits per second, 0 if
	// it never is the limit.
	LinkMbps float64 `yaml:"link_mbps"`
	// ServerReturn is how long the entry of a server that lapsed in an outage of the
	// store is awaited after the outage.
	ServerReturn Duration `yaml:"server_return"`
}

func defaultGate() Gate {
	return Gate{RetryShare: 0.1, RetrySlack: 30, MemoryMB: 256, ServerReturn: Duration(2200 * time.Millisecond)}
}

func (c *checker) gate(s *Settings) {
	g := &s.Gate
	c.address("gate.listen", g.Listen, true)
	c.address("gate.ready_listen", g.ReadyListen, true)
	if g.RelayPort < 0 || g.RelayPort > maxPort {
		c.fail("gate.relay_port", "must be a port, or 0 for none")
	}
	c.address("gate.store", g.Store, true)
	if g.Regions[s.Domain] == "" {
		c.fail("gate.regions", "the region of domain %q is missing", s.Domain)
	}
	if g.RetryShare < 0 || g.RetryShare > 1 {
		c.fail("gate.retry_share", "must be between 0 and 1")
	}
	if g.RetrySlack < 0 {
		c.fail("gate.retry_slack", "must not be negative")
	}
	if g.MemoryMB <= 0 {
		c.fail("gate.memory_mb", "must be above 0")
	}
	if g.LinkMbps < 0 {
		c.fail("gate.link_mbps", "must not be negative")
	}
	c.positive("gate.server_return", g.ServerReturn)
}

// Relay describes a relay.
type Relay struct {
	// Listen is the "IP:port" for gates, Store that of the platform's store.
	Listen string `yaml:"listen"`
	Store  string `yaml:"store"`
}

func (c *checker) relay(s *Settings) {
	c.address("relay.listen", s.Relay.Listen, true)
	c.address("relay.store", s.Relay.Store, true)
}
