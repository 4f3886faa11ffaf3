package placement

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures the choice of a server by the number of servers of the
// service.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{6, 21, 70, 210} {
		b.Run(fmt.Sprintf("servers=%d", 3*n), func(b *testing.B) {
			servers := fleetOf(n)
			session := uint64(0)
			for b.Loop() {
				session++
				if i, _ := DefaultPolicy().Choose(longQuery(session), servers); i < 0 {
					b.Fatal("none")
				}
			}
		})
	}
}
