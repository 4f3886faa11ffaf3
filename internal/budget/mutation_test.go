package budget

import (
	"math/rand"
	"testing"
)

// mutations are deliberate errors in the system under test. Each must be found
// by the checks of the model within mutationSeeds sequences.
var mutations = []struct {
	name string
	bug  faults
}{
	{"agents ignore fences", faults{skipFence: true}},
	{"agents ignore the account's epoch", faults{skipEpoch: true}},
	{"restarted agents do not learn epochs", faults{skipConfirm: true}},
	{"lots are used on sessions without renewal", faults{skipRenewal: true}},
	{"a request is settled twice", faults{settleTwice: true}},
	{"a released grant is used again", faults{reuseReleased: true}},
	{"takeover without unreconciled escrow", faults{trustTakeover: true}},
	{"an unknown flush is taken as failed", faults{unknownIsFailed: true}},
	{"a settlement is granted before its flush", faults{grantBeforeFlush: true}},
	{"routers accept replaced holders", faults{ignoreEpoch: true}},
	{"settled slots are forgotten", faults{forgetSettled: true}},
	{"lost memory of agents is ignored", faults{ignoreLostMemory: true}},
	{"routers claim an epoch that confirmed nothing", faults{adoptUnconfirmed: true}},
}

// mutationSeeds bounds the search for a sequence that shows a mutation.
const mutationSeeds = 3000

// TestMutations guards against checks of the model that cannot fail.
func TestMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			for seed := range int64(mutationSeeds) {
				rng := rand.New(rand.NewSource(seed))
				if err := run(rng.Intn, m.bug, 500); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found in %d sequences", mutationSeeds)
		})
	}
}
