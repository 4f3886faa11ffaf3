// Package hosts knows the platform's list of hosts.
package hosts

// Host is one process of the deployment as the host list describes it.
type Host struct {
	Name, Address, Role, Region, Domain, Pool string
	// Leaving is set once the platform has announced a planned stop.
	Leaving bool
}
