package settings

import "time"

const maxPort = 65535

// Gate holds the settings of a gate: its listeners, the platform's key-value service, and
// the limits that the operators set.
type Gate struct {
	// Listen is the "IP:port" for callers, ReadyListen that of the readiness check.
	// RelayPort is the port of the relays on the hosts of backend servers, 0 if there
	// are none.
	Listen      string `yaml:"listen"`
	ReadyListen string `yaml:"ready_listen"`
	RelayPort   int    `yaml:"relay_port"`
	// Store is the "IP:port" of the platform's key-value service; see package platform.
	Store string `yaml:"store"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `yaml:"regions"`
	// RetryShare is the fraction of the requests to a service, 0 to 1, that all gates
	// together may retry. RetrySlack is the number of retries in 10 s that they may
	// send in addition. Each gate uses only a part of both limits; see package daemon.
	RetryShare float64 `yaml:"retry_share"`
	RetrySlack float64 `yaml:"retry_slack"`
	// MemoryMB is the memory available to the process, in mebibytes. It determines how
	// many bytes of request bodies the gate buffers.
	MemoryMB int `yaml:"memory_mb"`
	// LinkMbps is the bandwidth of the host's link in each direction, in megabits per
	// second. 0 disables the detection of link overload.
	LinkMbps float64 `yaml:"link_mbps"`
	// ServerReturn is how long after an outage of the store a gate keeps servers whose
	// entries expired during the outage, so that they can register again.
	ServerReturn Duration `yaml:"server_return"`
}

func defaultGate() Gate {
	return Gate{RetryShare: 0.1, RetrySlack: 30, MemoryMB: 256, ServerReturn: Duration(2200 * time.Millisecond)}
}

func (c *checker) checkGate(s *Settings) {
	g := &s.Gate
	c.checkAddress("gate.listen", g.Listen, true)
	c.checkAddress("gate.ready_listen", g.ReadyListen, true)
	if g.RelayPort < 0 || g.RelayPort > maxPort {
		c.addError("gate.relay_port", "must be a port number, or 0 for no relays")
	}
	c.checkAddress("gate.store", g.Store, true)
	if g.Regions[s.Domain] == "" {
		c.addError("gate.regions", "the region of domain %q is missing", s.Domain)
	}
	if g.RetryShare < 0 || g.RetryShare > 1 {
		c.addError("gate.retry_share", "must be between 0 and 1")
	}
	if g.RetrySlack < 0 {
		c.addError("gate.retry_slack", "must not be negative")
	}
	if g.MemoryMB <= 0 {
		c.addError("gate.memory_mb", "must be above 0")
	}
	if g.LinkMbps < 0 {
		c.addError("gate.link_mbps", "must not be negative")
	}
	c.checkPositive("gate.server_return", g.ServerReturn)
}

// Relay holds the settings of a relay.
type Relay struct {
	// Listen is the "IP:port" for gates, Store that of the platform's key-value service.
	Listen string `yaml:"listen"`
	Store  string `yaml:"store"`
}

func (c *checker) checkRelay(s *Settings) {
	c.checkAddress("relay.listen", s.Relay.Listen, true)
	c.checkAddress("relay.store", s.Relay.Store, true)
}
