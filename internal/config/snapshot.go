package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Snapshot is the whole configuration at one version. It is immutable: callers must modify
// neither its maps nor the slices in its entries.
type Snapshot struct {
	// Version is the store revision of the latest change, 0 if there is none. It increases
	// with each change.
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
		sec.copyEntries(s)
	}
	return s
}

// EntryError reports that one entry is invalid.
type EntryError struct {
	Section, Name string
	Err           error
}

func (e *EntryError) Error() string { return fmt.Sprintf("%s %q: %v", e.Section, e.Name, e.Err) }

// Unwrap returns e.Err.
func (e *EntryError) Unwrap() error { return e.Err }

// With returns a copy of s to which the events are applied. It decodes only the changed
// entries and copies only the maps of their sections. Invalid entries and an invalid or
// deleted head keep their previous values. The returned error joins an *EntryError for each
// invalid entry and the error of the head. The snapshot is never nil, also if there is an
// error. Keys outside the configuration are ignored. The head and the entries of one change
// must be passed in the same call.
func (s *Snapshot) With(events []store.Event) (*Snapshot, error) {
	next := *s
	copied := make(map[string]bool)
	var errs []error
	for _, e := range events {
		if e.Key == HeadKey {
			errs = append(errs, next.setHead(e))
			continue
		}
		sectionName, name, ok := ParseKey(e.Key)
		if !ok {
			continue
		}
		sec := sections[sectionName]
		if sec == nil {
			errs = append(errs, &EntryError{Section: sectionName, Name: name, Err: ErrUnknownSection})
			continue
		}
		if !copied[sectionName] {
			copied[sectionName] = true
			sec.copyEntries(&next)
		}
		if e.Deleted {
			sec.remove(&next, name)
		} else if err := sec.put(&next, name, e.Value); err != nil {
			errs = append(errs, &EntryError{Section: sectionName, Name: name, Err: err})
		}
	}
	return &next, errors.Join(errs...)
}

// Load builds a snapshot from all entries under Prefix. Its errors are those of
// Snapshot.With.
func Load(entries []store.Entry) (*Snapshot, error) {
	events := make([]store.Event, len(entries))
	for i, e := range entries {
		events[i].Entry = e
	}
	return Empty().With(events)
}

// CheckReferences returns an error that joins all references to entries that do not exist,
// or nil. A missing deployment entry is an error too.
func (s *Snapshot) CheckReferences() error {
	var v validation
	v.check(s.Deployment.Name != "", "deployment %q: missing", DeploymentName)
	for name, w := range s.Workspaces {
		v.check(slices.ContainsFunc(s.Deployment.Regions, func(r Region) bool { return r.Name == w.HomeRegion }),
			"workspace %q: home_region: %q is not a region", name, w.HomeRegion)
		for _, model := range w.Models {
			_, ok := s.Models[model]
			v.check(ok, "workspace %q: models: %q does not exist", name, model)
		}
		for _, service := range w.Services {
			_, ok := s.Services[service]
			v.check(ok, "workspace %q: services: %q does not exist", name, service)
		}
	}
	for name, pool := range s.Pools {
		for _, target := range pool.Targets {
			_, ok := s.Models[target]
			if pool.Kind == PoolService {
				_, ok = s.Services[target]
			}
			v.check(ok, "pool %q: targets: %s %q does not exist", name, pool.Kind, target)
		}
	}
	slices.SortFunc(v, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(v...)
}
