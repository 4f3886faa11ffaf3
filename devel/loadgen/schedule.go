// Package loadgen sends an open-loop load to routers. All arrival times are
// fixed before the first request is sent, and latencies count from the intended
// start, so a slow deployment cannot slow its own load down and thereby hide its
// slowness.
package loadgen

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the intended start, counted from the start of the run.
	At time.Duration
	// Number counts the requests of the schedule from 0.
	Number    int
	Class     string
	Workspace string
	// Draw fixes the request's remaining choices, such as its text and router.
	Draw uint64
}

// Plan says what a schedule is made from.
type Plan struct {
	Seed uint64
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	Mix      Mix
	// Workspaces are in order of their size, the largest first.
	Workspaces []string
}

// skew makes the n-th workspace's share of the load proportional to n^-skew: of
// ten workspaces the three largest send about two thirds.
const skew = 1.2

// Schedule returns the arrivals of a plan, in order of time. The same plan gives
// the same schedule. The times between arrivals are exponentially distributed.
func Schedule(p Plan) []Arrival {
	random := rand.New(rand.NewPCG(p.Seed, scheduleStream))
	classes := make([]float64, len(p.Mix.Classes))
	for i, c := range p.Mix.Classes {
		classes[i] = c.Share
	}
	workspaces := make([]float64, len(p.Workspaces))
	for i := range workspaces {
		workspaces[i] = math.Pow(float64(i+1), -skew)
	}
	var out []Arrival
	for at := nextGap(random, p.Rate); at < p.Duration; at += nextGap(random, p.Rate) {
		out = append(out, Arrival{
			At: at, Number: len(out), Class: p.Mix.Classes[pick(random, classes)].Name,
			Workspace: p.Workspaces[pick(random, workspaces)], Draw: random.Uint64(),
		})
	}
	return out
}

// scheduleStream keeps the schedule's random numbers apart from those of other
// users of the same seed.
const scheduleStream = 1

func nextGap(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// pick returns an index with a probability in proportion to its weight.
func pick(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := random.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}
