package prepaid

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
)

// BenchmarkCheckpoint measures the encoding of a checkpoint by the number of workspaces, and
// reports its size.
func BenchmarkCheckpoint(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			c := Checkpoint{Version: 1, Owner: "edge-domain-1/0a1b2c3d", At: bootclock.Instant{Boot: "0123456789abcdef", Millis: 1 << 30}, UsageBounds: map[string]UsageBound{}}
			for i := range n {
				c.UsageBounds[fmt.Sprintf("workspace-%d", i)] = UsageBound{Spent: 1 << 24, Burst: 1 << 16, Rate: 1 << 14}
			}
			size := 0
			for b.Loop() {
				raw, err := json.Marshal(&c)
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkQuotaRecord measures decoding, planning and encoding of a quota record by the
// number of shares, and reports its size.
func BenchmarkQuotaRecord(b *testing.B) {
	for _, n := range []int{5, 28, 390} {
		b.Run(fmt.Sprintf("shares=%d", n), func(b *testing.B) {
			record := QuotaRecord{Version: 1}
			for i := range n {
				record.Shares = append(record.Shares, Share{Owner: fmt.Sprintf("edge-%d/0a1b2c3d", i), Limit: 1 << 22, Spent: 1 << 21, Demand: 1 << 14})
			}
			raw, err := record.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				read, err := DecodeQuotaRecord(raw)
				if err != nil {
					b.Fatal(err)
				}
				next := DefaultPolicy().plan(read, localState{owner: "edge-1/0a1b2c3d", spent: 1 << 21, demand: 1 << 14}, 1<<32)
				if _, err = next.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
	}
}
