package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"strings"
)

const (
	// Prefix is the store key prefix of the configuration.
	Prefix = "/mw/sync/config/"
	// HeadKey is the store key of the Head.
	HeadKey = Prefix + "head"
)

// Sections of the configuration.
const (
	SectionDeployment = "deployment"
	SectionWorkspace  = "workspace"
	SectionModel      = "model"
	SectionService    = "service"
	SectionPool       = "pool"
)

// DeploymentName is the name of the only entry of SectionDeployment.
const DeploymentName = "main"

// maxEntryBytes limits the size of one entry, of the head and of a holder record, so that a
// change fits in one transaction and in one reply of package syncer.
const maxEntryBytes = 64 << 10

// Key returns the store key of an entry.
func Key(section, name string) string { return Prefix + section + "/" + name }

// ParseKey returns the section and the name in an entry's key. ok is false for the head and
// for keys that are not entries.
func ParseKey(key string) (section, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", "", false
	}
	section, name, ok = strings.Cut(rest, "/")
	return section, name, ok && section != "" && name != ""
}

// ErrUnknownSection means that the section of an entry is not known.
var ErrUnknownSection = errors.New("unknown section")

// decodeStrict decodes one JSON value. It rejects unknown fields and trailing data.
func decodeStrict(data []byte, into any) error {
	if len(data) > maxEntryBytes {
		return fmt.Errorf("%d bytes exceed the limit of %d", len(data), maxEntryBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("data after the JSON value")
	}
	return nil
}

// entryType is implemented by the types of entries.
type entryType interface {
	Validate() error
	entryName() string
}

func (d Deployment) entryName() string { return DeploymentName }
func (w Workspace) entryName() string  { return w.Name }
func (m Model) entryName() string      { return m.Name }
func (s Service) entryName() string    { return s.Name }
func (p Pool) entryName() string       { return p.Name }

func decodeEntry[T entryType](name string, data []byte) (T, error) {
	var value T
	if err := decodeStrict(data, &value); err != nil {
		return value, err
	}
	if err := value.Validate(); err != nil {
		return value, err
	}
	if value.entryName() != name {
		return value, fmt.Errorf("name: %q differs from the entry's name %q", value.entryName(), name)
	}
	return value, nil
}

// section accesses the entries of one section in a Snapshot.
type section interface {
	// copyEntries replaces the section's map by a copy, so that it can be modified without
	// changing the snapshot that it was copied from.
	copyEntries(s *Snapshot)
	put(s *Snapshot, name string, data []byte) error
	remove(s *Snapshot, name string)
	// encode returns the entries as JSON, by name.
	encode(s *Snapshot) map[string]json.RawMessage
}

var sections = map[string]section{
	SectionDeployment: deploymentSection{},
	SectionWorkspace:  mapSection[Workspace](func(s *Snapshot) *map[string]Workspace { return &s.Workspaces }),
	SectionModel:      mapSection[Model](func(s *Snapshot) *map[string]Model { return &s.Models }),
	SectionService:    mapSection[Service](func(s *Snapshot) *map[string]Service { return &s.Services }),
	SectionPool:       mapSection[Pool](func(s *Snapshot) *map[string]Pool { return &s.Pools }),
}

// mapSection is a section with any number of entries. Its value is a function that returns a
// pointer to the section's map in a snapshot.
type mapSection[T entryType] func(*Snapshot) *map[string]T

func (m mapSection[T]) copyEntries(s *Snapshot) {
	entries := m(s)
	if *entries == nil {
		*entries = make(map[string]T)
		return
	}
	*entries = maps.Clone(*entries)
}

func (m mapSection[T]) put(s *Snapshot, name string, data []byte) error {
	value, err := decodeEntry[T](name, data)
	if err == nil {
		(*m(s))[name] = value
	}
	return err
}

func (m mapSection[T]) remove(s *Snapshot, name string) { delete(*m(s), name) }

func (m mapSection[T]) encode(s *Snapshot) map[string]json.RawMessage {
	encoded := make(map[string]json.RawMessage)
	for name, value := range *m(s) {
		encoded[name], _ = json.Marshal(value)
	}
	return encoded
}

// deploymentSection is the section with the single deployment entry.
type deploymentSection struct{}

func (deploymentSection) copyEntries(*Snapshot) {}

func (deploymentSection) put(s *Snapshot, name string, data []byte) error {
	if name != DeploymentName {
		return fmt.Errorf("the only entry is %q", DeploymentName)
	}
	value, err := decodeEntry[Deployment](name, data)
	if err == nil {
		s.Deployment = value
	}
	return err
}

func (deploymentSection) remove(s *Snapshot, _ string) { s.Deployment = Deployment{} }

func (deploymentSection) encode(s *Snapshot) map[string]json.RawMessage {
	if s.Deployment.Name == "" {
		return nil
	}
	encoded, _ := json.Marshal(s.Deployment)
	return map[string]json.RawMessage{DeploymentName: encoded}
}
