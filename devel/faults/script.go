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

// Actions of a script. The seed determines what targets that begin with "any-" stand
// for.
const (
	// Kill stops a process without draining it, Start starts it again, Drain shuts
	// it down gracefully. Target: a process, "any-router" or "any-agent".
	Kill  Action = "kill"
	Start Action = "start"
	Drain Action = "drain"
	// PartitionRegions drops all traffic between regions without closing the
	// connections; HealRegions closes them and lets new ones work.
	PartitionRegions Action = "partition-regions"
	HealRegions      Action = "heal-regions"
	// StoreDown makes all store calls fail; StoreUp makes them succeed again.
	StoreDown Action = "store-down"
	StoreUp   Action = "store-up"
	// StoreDelay adds a delay to each store call. Target: a duration.
	StoreDelay Action = "store-delay"
	// StoreDropResponses drops the responses to the next writes after they were applied.
	// Target: the number of writes.
	StoreDropResponses Action = "store-lose-answers"
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
	Kill, Start, Drain, PartitionRegions, HealRegions, StoreDown, StoreUp, StoreDelay, StoreDropResponses, Freeze,
	CrashEngine, TopUp,
}

// Targets that Script.Resolve replaces, each occurrence independently: Start with
// AnyRouter or AnyAgent starts the most recently stopped router or agent, other actions
// get a random one.
const (
	AnyRouter = "any-router"
	AnyAgent  = "any-agent"
	AnyEngine = "any-engine"
)

// Step is one action of a script.
type Step struct {
	// At is the offset from the start of the load, such as "2.5s".
	At     time.Duration `yaml:"at"`
	Action Action        `yaml:"action"`
	Target string        `yaml:"target"`
}

// Script is a sequence of steps.
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
			return s, fmt.Errorf("fault %d: unknown action %q", i+1, step.Action)
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
// names. Except for Start, it never chooses a process that is stopped at that point of
// the script.
func (s Script) Resolve(names Names) []Step {
	random := rand.New(rand.NewPCG(s.Seed, uint64(len(s.Steps))))
	var stopped []string
	out := slices.Clone(s.Steps)
	for i := range out {
		step := &out[i]
		if strings.HasPrefix(step.Target, "any-") {
			step.Target = choose(random, names.forTarget(step.Target), step, stopped)
		}
		switch step.Action {
		case Kill, Drain:
			stopped = append(stopped, step.Target)
		case Start:
			stopped = slices.DeleteFunc(stopped, func(name string) bool { return name == step.Target })
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

// choose returns a random name from the list without the stopped processes, or for Start
// the most recently stopped one. If there is none, it returns the target unchanged, so
// that the step fails.
func choose(random *rand.Rand, from []string, step *Step, stopped []string) string {
	if step.Action == Start {
		for _, name := range slices.Backward(stopped) {
			if slices.Contains(from, name) {
				return name
			}
		}
		return step.Target
	}
	candidates := slices.DeleteFunc(slices.Clone(from), func(name string) bool { return slices.Contains(stopped, name) })
	if len(candidates) == 0 {
		return step.Target
	}
	return candidates[random.IntN(len(candidates))]
}
