package reserve

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/relay"
)

// BenchmarkOrder measures the choice of a holder by the number of holders.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{18, 56, 2100} {
		b.Run(fmt.Sprintf("holders=%d", n), func(b *testing.B) {
			holders := make([]string, n)
			for i := range holders {
				holders[i] = fmt.Sprintf("10.%d.0.%d:7000", i/200, i%200)
			}
			for b.Loop() {
				order("workspace-7", holders, holderTries)
			}
		})
	}
}

// BenchmarkReserve measures a reservation over loopback, with the settlement of the one
// before, both sides included.
func BenchmarkReserve(b *testing.B) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, NewServer(b.Context(), &account{}, metrics.NewRegistry(), log)); err != nil {
		b.Fatal(err)
	}
	go server.Accept(listener)
	client := NewClient(Options{
		Gate: "edge-domain-1/0a1b2c3d", QuotaServers: func() []string { return []string{listener.Addr().String()} },
		Dial: relay.TCPDialer(), Log: log, Metrics: metrics.NewRegistry(),
	})
	for b.Loop() {
		r, err := client.Reserve(b.Context(), prepaid.ReservationRequest{Workspace: "workspace-7", Paid: 1 << 40, Bound: 9000})
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(9000)
	}
}
