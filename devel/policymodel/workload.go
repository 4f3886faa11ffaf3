package policymodel

import (
	"math/rand/v2"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/route"
)

// Workload describes the conversations of a deployment. Lengths are in blocks of
// 256 bytes and tokens.
type Workload struct {
	Workspaces int
	// SystemBlocks is the range of the length of a workspace's system prompt.
	SystemBlocks [2]int
	// MeanTurns is the mean number of turns of a conversation, TurnBlocks the
	// range of what the caller adds in each, Output the range of answers.
	MeanTurns  float64
	TurnBlocks [2]int
	Output     [2]int
	// Think is the mean time between an answer and the next turn.
	Think time.Duration
}

// Yukimi is staff asking short questions with a long common system prompt.
func Yukimi() Workload {
	return Workload{
		Workspaces: 10, SystemBlocks: [2]int{8, 24}, MeanTurns: 4,
		TurnBlocks: [2]int{1, 6}, Output: [2]int{60, 300}, Think: 12 * time.Second,
	}
}

// Armor is letters and round plans: longer texts that are worked over.
func Armor() Workload {
	return Workload{
		Workspaces: 10, SystemBlocks: [2]int{4, 12}, MeanTurns: 6,
		TurnBlocks: [2]int{4, 16}, Output: [2]int{100, 400}, Think: 20 * time.Second,
	}
}

// conversation is a sequence of turns with a growing prompt.
type conversation struct {
	blocks []uint64 // of all turns
	turns  []turn
}

// turn has the ends of its prompt and answer in the conversation's blocks, and
// the time that the caller thinks afterwards.
type turn struct {
	prompt, after, output int
	think                 time.Duration
}

func between(rnd *rand.Rand, r [2]int) int { return r[0] + rnd.IntN(r[1]-r[0]+1) }

// systemPrompts returns the blocks of each workspace's system prompt.
func (w Workload) systemPrompts(rnd *rand.Rand) [][]uint64 {
	prompts := make([][]uint64, w.Workspaces)
	for i := range prompts {
		prompts[i] = randomBlocks(rnd, between(rnd, w.SystemBlocks))
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

// conversation makes one. A few workspaces are large: workspace n has a share of
// 1/n.
func (w Workload) conversation(rnd *rand.Rand, prompts [][]uint64) *conversation {
	c := &conversation{blocks: append([]uint64(nil), prompts[w.workspace(rnd)]...)}
	for {
		t := turn{
			output: between(rnd, w.Output),
			think:  time.Duration(rnd.ExpFloat64() * float64(w.Think)),
		}
		c.blocks = append(c.blocks, randomBlocks(rnd, between(rnd, w.TurnBlocks))...)
		t.prompt = len(c.blocks)
		c.blocks = append(c.blocks, randomBlocks(rnd, t.output/blockTokens)...)
		t.after = len(c.blocks)
		c.turns = append(c.turns, t)
		if rnd.Float64() < 1/w.MeanTurns {
			return c
		}
	}
}

func (w Workload) workspace(rnd *rand.Rand) int {
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

// Figures of the search for the capacity of one server.
const (
	maxCapacity     = 2.5 // conversations per second, over what one server can carry
	capacitySteps   = 6
	capacityRefused = 0.01
	capacityTime    = time.Hour
)

// Capacity returns the conversations per second that one server carries alone,
// refusing at most capacityRefused of its requests. All policies are the same
// then, and no conversation moves, so it does not depend on the routing.
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
