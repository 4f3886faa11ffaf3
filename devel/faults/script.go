// Package faults runs a scripted sequence of faults against a deployment: at
// fixed times, processes are killed or drained, regions are partitioned, the store
// fails, connections hang and engines crash. It knows the deployment only through
// the Deployment interface.
package faults

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// Action is the kind of a step.
type Action string

// Actions of a script. Targets that begin with "any-" are chosen by the seed.
const (
	// Kill stops a process without draining it, Start starts it again, Drain shuts
	// it down gracefully. Target: a process, "any-router" or "any-agent".
	Kill  Action = "kill"
	Start Action = "start"
	Drain Action = "drain"
	// PartitionRegions drops all traffic between regions without closing the
	// connections; HealRegions lets new connections work.
	PartitionRegions Action = "partition-regions"
	HealRegions      Action = "heal-regions"
	// StoreDown makes all store calls fail; StoreUp makes them succeed again.
	StoreDown Action = "store-down"
	StoreUp   Action = "store-up"
	// StoreDelay adds a delay to each store call. Target: a duration.
	StoreDelay Action = "store-delay"
	// StoreLoseAnswers drops the replies to the next writes after they have been
	// applied. Target: the number of writes.
	StoreLoseAnswers Action = "store-lose-answers"
	// Freeze permanently stops traffic on open connections without closing them;
	// new connections work. Target: "regions", or a router for its callers'
	// connections.
	Freeze Action = "freeze"
	// CrashEngine crashes a model engine. Target: its server or "any-engine".
	CrashEngine Action = "crash-engine"
	// TopUp adds tokens to a workspace's default budget. Target: "workspace:tokens".
	TopUp Action = "top-up"
)

var actions = []Action{
	Kill, Start, Drain, PartitionRegions, HealRegions, StoreDown, StoreUp, StoreDelay, StoreLoseAnswers, Freeze,
	CrashEngine, TopUp,
}

// Targets that are resolved with the seed. Each occurrence in a script is chosen
// independently; Start with AnyRouter or AnyAgent starts the most recently stopped
// process.
const (
	AnyRouter = "any-router"
	AnyAgent  = "any-agent"
	AnyEngine = "any-engine"
)

// Step is one fault.
type Step struct {
	// At is the offset from the start of the load, such as "2.5s".
	At     time.Duration `yaml:"at"`
	Action Action        `yaml:"action"`
	Target string        `yaml:"target"`
}

// Script is a sequence of faults.
type Script struct {
	// Seed determines how "any-" targets are resolved.
	Seed  uint64 `yaml:"seed"`
	Steps []Step `yaml:"faults"`
}

// Load reads a script from a YAML file. Syntax errors contain the line number.
func Load(path string) (Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Script{}, err
	}
	s, err := Parse(text)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse decodes a YAML script, validates it and sorts its steps by time.
func Parse(text []byte) (Script, error) {
	var s Script
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&s); err != nil {
		return s, err
	}
	for i, step := range s.Steps {
		if !slices.Contains(actions, step.Action) {
			return s, fmt.Errorf("fault %d: there is no action %q", i+1, step.Action)
		}
		if step.At < 0 {
			return s, fmt.Errorf("fault %d: time %s is negative", i+1, step.At)
		}
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return s, nil
}

// Names lists the possible targets in a deployment, sorted.
type Names struct{ Routers, Agents, Engines []string }

// Resolve replaces the "any-" targets. It is deterministic for a given script and
// names. It never chooses a process that an earlier step stopped and no later one
// restarted.
func (s Script) Resolve(names Names) []Step {
	random := rand.New(rand.NewPCG(s.Seed, uint64(len(s.Steps))))
	var ended []string
	out := slices.Clone(s.Steps)
	for i := range out {
		step := &out[i]
		if strings.HasPrefix(step.Target, "any-") {
			step.Target = choose(random, names.forTarget(step.Target), step, ended)
		}
		switch step.Action {
		case Kill, Drain:
			ended = append(ended, step.Target)
		case Start:
			ended = slices.DeleteFunc(ended, func(name string) bool { return name == step.Target })
		}
	}
	return out
}

// forTarget returns the names that an "any-" target can resolve to.
func (n Names) forTarget(kind string) []string {
	switch kind {
	case AnyRouter:
		return n.Routers
	case AnyAgent:
		return n.Agents
	case AnyEngine:
		return n.Engines
	}
	return nil
}

// choose returns a random running process, or for Start the most recently stopped
// one. If there is none, it returns the target unchanged.
func choose(random *rand.Rand, from []string, step *Step, ended []string) string {
	if step.Action == Start {
		for _, name := range slices.Backward(ended) {
			if slices.Contains(from, name) {
				return name
			}
		}
		return step.Target
	}
	candidates := slices.DeleteFunc(slices.Clone(from), func(name string) bool { return slices.Contains(ended, name) })
	if len(candidates) == 0 {
		return step.Target
	}
	return candidates[random.IntN(len(candidates))]
}
