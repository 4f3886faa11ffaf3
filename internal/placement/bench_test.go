package placement

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures Choose for services of several sizes.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{6, 21, 70, 210} {
		b.Run(fmt.Sprintf("servers=%d", 3*n), func(b *testing.B) {
			servers := testCandidates(n)
			session := uint64(0)
			for b.Loop() {
				session++
				if i, _ := DefaultPolicy().Choose(longQuery(session), servers); i < 0 {
					b.Fatal("no server chosen")
				}
			}
		})
	}
}
