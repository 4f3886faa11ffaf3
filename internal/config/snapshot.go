package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Snapshot is the whole configuration at one version. It is immutable: neither
// its maps nor the slices of its entries may be changed.
type Snapshot struct {
	// Version is the store revision of the last change, 0 if there is none.
	// Versions only grow.
	Version    int64
	Head       Head
	Deployment Deployment
	Workspaces map[string]Workspace
	Models     map[string]Model
	Services   map[string]Service
	Pools      map[string]Pool
}

// Empty returns a snapshot without entries.
func Empty() *Snapshot {
	s := &Snapshot{}
	for _, sec := range sections {
		sec.own(s)
	}
	return s
}

// EntryError is a fault of one entry.
type EntryError struct {
	Section, Name string
	Err           error
}

func (e *EntryError) Error() string { return fmt.Sprintf("%s %q: %v", e.Section, e.Name, e.Err) }

// Unwrap returns the fault.
func (e *EntryError) Unwrap() error { return e.Err }

// With returns a snapshot with some keys changed. Only the changed entries are
// decoded, and only the tables of their sections are copied. An entry that
// cannot be decoded keeps its earlier value; the error joins an *EntryError for
// each. The result is never nil. Keys that are not part of the configuration are
// ignored. Entries and head of one change must be given together.
func (s *Snapshot) With(events []store.Event) (*Snapshot, error) {
	next := *s
	owned := make(map[string]bool)
	var faults []error
	for _, e := range events {
		if e.Key == HeadKey {
			faults = append(faults, next.setHead(e))
			continue
		}
		name, entry, ok := ParseKey(e.Key)
		if !ok {
			continue
		}
		sec := sections[name]
		if sec == nil {
			faults = append(faults, &EntryError{Section: name, Name: entry, Err: ErrSection})
			continue
		}
		if !owned[name] {
			owned[name] = true
			sec.own(&next)
		}
		if e.Deleted {
			sec.remove(&next, entry)
		} else if err := sec.put(&next, entry, e.Value); err != nil {
			faults = append(faults, &EntryError{Section: name, Name: entry, Err: err})
		}
	}
	return &next, errors.Join(faults...)
}

// Load builds a snapshot from all entries under Prefix.
func Load(entries []store.Entry) (*Snapshot, error) {
	events := make([]store.Event, len(entries))
	for i, e := range entries {
		events[i].Entry = e
	}
	return Empty().With(events)
}

// Check returns all references to entries that do not exist.
func (s *Snapshot) Check() error {
	var p problems
	p.check(s.Deployment.Name != "", "deployment %q: missing", DeploymentName)
	for name, w := range s.Workspaces {
		p.check(slices.ContainsFunc(s.Deployment.Regions, func(r Region) bool { return r.Name == w.HomeRegion }),
			"workspace %q: home_region: %q is not a region", name, w.HomeRegion)
		for _, model := range w.Models {
			_, ok := s.Models[model]
			p.check(ok, "workspace %q: models: %q does not exist", name, model)
		}
		for _, service := range w.Services {
			_, ok := s.Services[service]
			p.check(ok, "workspace %q: services: %q does not exist", name, service)
		}
	}
	for name, pool := range s.Pools {
		for _, target := range pool.Targets {
			_, ok := s.Models[target]
			if pool.Kind == PoolService {
				_, ok = s.Services[target]
			}
			p.check(ok, "pool %q: targets: %s %q does not exist", name, pool.Kind, target)
		}
	}
	slices.SortFunc(p, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(p...)
}
