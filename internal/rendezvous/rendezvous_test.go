package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against processes that rank the nodes differently, and against a node that moves the keys
// of other nodes when it joins or leaves.
func TestRank(t *testing.T) {
	c := qt.New(t)
	servers := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000", "10.0.0.5:7000"}
	counts := make(map[string]int)
	for i := range 1000 {
		workspace := fmt.Sprint("workspace-", i)
		ranked := Rank(workspace, slices.Clone(servers), 2)
		reversed := slices.Clone(servers)
		slices.Reverse(reversed)
		c.Assert(Rank(workspace, reversed, 2), qt.DeepEquals, ranked)
		without := slices.DeleteFunc(slices.Clone(servers), func(server string) bool { return server == servers[0] })
		if ranked[0] == servers[0] {
			c.Assert(Rank(workspace, without, 1)[0], qt.Equals, ranked[1])
		} else {
			c.Assert(Rank(workspace, without, 1)[0], qt.Equals, ranked[0])
		}
		counts[ranked[0]]++
	}
	for server, n := range counts {
		c.Assert(n > 150 && n < 250, qt.IsTrue, qt.Commentf("%s serves %d of 1000", server, n))
	}
	c.Assert(Rank("w", nil, 2), qt.HasLen, 0)
}

// BenchmarkRank measures the ranking by the number of nodes.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{18, 56, 2100} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			servers := make([]string, n)
			for i := range servers {
				servers[i] = fmt.Sprintf("10.%d.0.%d:7000", i/200, i%200)
			}
			for b.Loop() {
				Rank("workspace-7", servers, 2)
			}
		})
	}
}
