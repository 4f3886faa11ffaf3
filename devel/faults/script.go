// Package faults runs a script of faults against a deployment: at fixed times,
// processes end or drain, regions are cut off, the store fails, connections go
// silent and engines crash.
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

// Action names what a step does.
type Action string

// Actions of a script. Targets that begin with "any-" are chosen by the seed.
const (
	// Kill ends a process without a drain, Start starts it again, Drain ends it
	// as a planned stop does. Target: a process, "any-router" or "any-agent".
	Kill  Action = "kill"
	Start Action = "start"
	Drain Action = "drain"
	// PartitionRegions makes all connections between regions silent;
	// HealRegions lets new ones work.
	PartitionRegions Action = "partition-regions"
	HealRegions      Action = "heal-regions"
	// StoreDown makes all calls of the store fail; StoreUp ends that.
	StoreDown Action = "store-down"
	StoreUp   Action = "store-up"
	// StoreDelay makes each call of the store slower. Target: a duration.
	StoreDelay Action = "store-delay"
	// StoreLoseAnswers drops the answers of the next writes after their effect.
	// Target: their number.
	StoreLoseAnswers Action = "store-lose-answers"
	// Freeze makes open connections silent for good while new ones work.
	// Target: "regions", or a router for its callers' connections.
	Freeze Action = "freeze"
	// CrashEngine ends a model engine. Target: its server or "any-engine".
	CrashEngine Action = "crash-engine"
	// TopUp pays into a workspace's default budget. Target: "workspace:tokens".
	TopUp Action = "top-up"
)

var actions = []Action{
	Kill, Start, Drain, PartitionRegions, HealRegions, StoreDown, StoreUp, StoreDelay, StoreLoseAnswers, Freeze,
	CrashEngine, TopUp,
}

// Names of targets that the seed chooses. The same name in one script means
// another choice each time; Start with AnyRouter or AnyAgent starts the process
// that ended last.
const (
	AnyRouter = "any-router"
	AnyAgent  = "any-agent"
	AnyEngine = "any-engine"
)

// Step is one fault.
type Step struct {
	// At counts from the start of the load, such as "2.5s".
	At     time.Duration `yaml:"at"`
	Action Action        `yaml:"action"`
	Target string        `yaml:"target"`
}

// Script is a list of faults.
type Script struct {
	// Seed fixes the choice of "any-" targets.
	Seed  uint64 `yaml:"seed"`
	Steps []Step `yaml:"faults"`
}

// Load reads a script from a YAML file. Errors name the line.
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

// Parse reads a script and sorts its steps by time.
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

// Names are the possible targets of a deployment, sorted.
type Names struct{ Routers, Agents, Engines []string }

// Resolve replaces the "any-" targets. The same script and names give the same
// steps. No process is chosen that an earlier step ended and did not start again.
func (s Script) Resolve(names Names) []Step {
	random := rand.New(rand.NewPCG(s.Seed, uint64(len(s.Steps))))
	var ended []string
	out := slices.Clone(s.Steps)
	for i := range out {
		step := &out[i]
		if strings.HasPrefix(step.Target, "any-") {
			step.Target = choose(random, names.of(step.Target), step, ended)
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

// of returns the names that a kind of target stands for.
func (n Names) of(kind string) []string {
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

// choose returns one of the processes that run, or for Start the one that ended
// last. Without any it returns the target as it is.
func choose(random *rand.Rand, from []string, step *Step, ended []string) string {
	if step.Action == Start {
		for _, name := range slices.Backward(ended) {
			if slices.Contains(from, name) {
				return name
			}
		}
		return step.Target
	}
	left := slices.DeleteFunc(slices.Clone(from), func(name string) bool { return slices.Contains(ended, name) })
	if len(left) == 0 {
		return step.Target
	}
	return left[random.IntN(len(left))]
}
