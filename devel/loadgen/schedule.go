// Package loadgen is an open-loop load generator for routers. All arrival times are
// computed before the first request is sent, and latencies are measured from the
// scheduled start. This avoids coordinated omission: a slow deployment cannot reduce
// its own load and so hide its latency. The demo and the load command call it. It
// must not know how the deployment was started.
package loadgen

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one request of a schedule.
type Arrival struct {
	// At is the scheduled start, as an offset from the start of the load test.
	At time.Duration
	// Number is the index of the request in the schedule, from 0.
	Number    int
	Class     string
	Workspace string
	// Seed is the random seed of the request's content and of its order of routers.
	Seed uint64
}

// Plan holds the parameters of a schedule.
type Plan struct {
	Seed uint64
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	Mix      Mix
	// Workspaces is ordered by load, the largest first.
	Workspaces []string
}

// workspaceSkew is the Zipf exponent s of the workspaces' load: the share of the n-th
// workspace is proportional to n^-s. Of ten workspaces the three largest send about
// two thirds.
const workspaceSkew = 1.2

// Schedule returns the arrivals of a plan, in order of time, as a Poisson process. It
// is deterministic for a given plan.
func Schedule(p Plan) []Arrival {
	random := rand.New(rand.NewPCG(p.Seed, scheduleSeed))
	classes := make([]float64, len(p.Mix.Classes))
	for i, c := range p.Mix.Classes {
		classes[i] = c.Share
	}
	workspaces := make([]float64, len(p.Workspaces))
	for i := range workspaces {
		workspaces[i] = math.Pow(float64(i+1), -workspaceSkew)
	}
	var out []Arrival
	for at := nextInterval(random, p.Rate); at < p.Duration; at += nextInterval(random, p.Rate) {
		out = append(out, Arrival{
			At: at, Number: len(out), Class: p.Mix.Classes[pick(random, classes)].Name,
			Workspace: p.Workspaces[pick(random, workspaces)], Seed: random.Uint64(),
		})
	}
	return out
}

// scheduleSeed is the second word of the PCG seed for the schedule. It keeps the
// schedule apart from other users of the load test's seed.
const scheduleSeed = 1

func nextInterval(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// pick returns a random index with a probability proportional to its weight.
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
