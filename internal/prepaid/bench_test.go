package prepaid

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkStatement measures the making of a statement by the number of budgets in
// use, and reports its size.
func BenchmarkStatement(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			s := Checkpoint{Version: 1, QuotaServer: "edge-domain-1/0a1b2c3d", At: Instant{"0123456789abcdef", 1 << 30}, Rows: map[string]UsageBound{}}
			for i := range n {
				s.Rows[fmt.Sprintf("workspace-%d", i)] = UsageBound{Spent: 1 << 24, Burst: 1 << 16, Rate: 1 << 14}
			}
			size := 0
			for b.Loop() {
				raw, err := json.Marshal(&s)
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkAccount measures the reading, planning and writing of an account by the
// number of holders that share it, and reports its size.
func BenchmarkAccount(b *testing.B) {
	for _, n := range []int{5, 28, 390} {
		b.Run(fmt.Sprintf("holders=%d", n), func(b *testing.B) {
			a := QuotaRecord{Version: 1}
			for i := range n {
				a.Shares = append(a.Shares, Share{QuotaServer: fmt.Sprintf("edge-%d/0a1b2c3d", i), Limit: 1 << 22, Spent: 1 << 21, Demand: 1 << 14})
			}
			raw, err := a.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				read, err := DecodeQuotaRecord(raw)
				if err != nil {
					b.Fatal(err)
				}
				next := DefaultPolicy().plan(read, position{holder: "edge-1/0a1b2c3d", spent: 1 << 21, demand: 1 << 14}, 1<<32)
				if _, err = next.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
	}
}
