package policymodel

import (
	"math/rand/v2"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/route"
)

// Workload describes the conversations of a deployment. Prompt lengths are in
// blocks of 256 bytes, output lengths in tokens. Ranges include both ends.
type Workload struct {
	Workspaces int
	// SystemBlocks is the length range of a workspace's system prompt.
	SystemBlocks [2]int
	// MeanTurns is the mean number of turns of a conversation, TurnBlocks the
	// length range of the caller's text in each, OutputTokens that of the responses.
	MeanTurns    float64
	TurnBlocks   [2]int
	OutputTokens [2]int
	// MeanThinkTime is the mean time between a response and the next turn.
	MeanThinkTime time.Duration
}

// Yukimi returns a workload of short questions from staff over a long shared system
// prompt.
func Yukimi() Workload {
	return Workload{
		Workspaces: 10, SystemBlocks: [2]int{8, 24}, MeanTurns: 4,
		TurnBlocks: [2]int{1, 6}, OutputTokens: [2]int{60, 300}, MeanThinkTime: 12 * time.Second,
	}
}

// Armor returns a workload of letters and round plans: longer texts that are
// revised over several turns.
func Armor() Workload {
	return Workload{
		Workspaces: 10, SystemBlocks: [2]int{4, 12}, MeanTurns: 6,
		TurnBlocks: [2]int{4, 16}, OutputTokens: [2]int{100, 400}, MeanThinkTime: 20 * time.Second,
	}
}

// conversation is a sequence of turns with a growing prompt.
type conversation struct {
	blocks []uint64 // of all turns
	turns  []turn
}

// turn is one request of a conversation: the end indexes of its prompt and response
// in conversation.blocks, the response length in tokens, and the think time after it.
type turn struct {
	promptEnd, responseEnd, outputTokens int
	thinkTime                            time.Duration
}

func uniform(rnd *rand.Rand, r [2]int) int { return r[0] + rnd.IntN(r[1]-r[0]+1) }

// systemPrompts returns the blocks of each workspace's system prompt.
func (w Workload) systemPrompts(rnd *rand.Rand) [][]uint64 {
	prompts := make([][]uint64, w.Workspaces)
	for i := range prompts {
		prompts[i] = randomBlocks(rnd, uniform(rnd, w.SystemBlocks))
	}
	return prompts
}

func randomBlocks(rnd *rand.Rand, n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = rnd.Uint64()
	}
	return blocks
}

// conversation generates a conversation of a random workspace, with a geometrically
// distributed number of turns.
func (w Workload) conversation(rnd *rand.Rand, prompts [][]uint64) *conversation {
	c := &conversation{blocks: append([]uint64(nil), prompts[w.pickWorkspace(rnd)]...)}
	for {
		t := turn{
			outputTokens: uniform(rnd, w.OutputTokens),
			thinkTime:    time.Duration(rnd.ExpFloat64() * float64(w.MeanThinkTime)),
		}
		c.blocks = append(c.blocks, randomBlocks(rnd, uniform(rnd, w.TurnBlocks))...)
		t.promptEnd = len(c.blocks)
		c.blocks = append(c.blocks, randomBlocks(rnd, t.outputTokens/blockTokens)...)
		t.responseEnd = len(c.blocks)
		c.turns = append(c.turns, t)
		if rnd.Float64() < 1/w.MeanTurns {
			return c
		}
	}
}

// pickWorkspace picks a workspace. Workspace n, from 1, has a weight of 1/n, so a few
// workspaces send most of the load.
func (w Workload) pickWorkspace(rnd *rand.Rand) int {
	total := 0.0
	for n := range w.Workspaces {
		total += 1 / float64(n+1)
	}
	at := rnd.Float64() * total
	for n := range w.Workspaces {
		if at -= 1 / float64(n+1); at < 0 {
			return n
		}
	}
	return w.Workspaces - 1
}

// Parameters of the binary search for the capacity of one server.
const (
	maxCapacity     = 2.5 // conversations per second, above the capacity of one server
	capacitySteps   = 6
	capacityRefused = 0.01      // share of the requests
	capacityTime    = time.Hour // simulated time of one step
)

// Capacity returns the rate of conversations per second at which a single server
// refuses at most capacityRefused of its requests. With one server the result does
// not depend on the routing policy.
func (w Workload) Capacity() float64 {
	low, high := 0.0, maxCapacity
	for range capacitySteps {
		rate := (low + high) / 2
		r := Run(Config{
			Policy: &route.RoundRobin{}, Workload: w, Servers: 1, Routers: 1, ConversationsPerSecond: rate,
			Seed: 1, WarmUp: capacityTime / 4, Measured: capacityTime,
		})
		if float64(r.Refused) <= capacityRefused*float64(r.Requests) {
			low = rate
		} else {
			high = rate
		}
	}
	return low
}
