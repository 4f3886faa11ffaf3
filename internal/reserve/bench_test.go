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
	"github.com/monsoonworks/monsoonworks/internal/rendezvous"
)

// BenchmarkRankServers measures the ranking by the number of quota servers.
func BenchmarkRankServers(b *testing.B) {
	for _, n := range []int{18, 56, 2100} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			servers := make([]string, n)
			for i := range servers {
				servers[i] = fmt.Sprintf("10.%d.0.%d:7000", i/200, i%200)
			}
			for b.Loop() {
				rendezvous.Rank("workspace-7", servers, maxServerAttempts)
			}
		})
	}
}

// BenchmarkReserve measures a reservation over loopback, including the settlement of the
// previous one, on both sides.
func BenchmarkReserve(b *testing.B) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, NewServer(b.Context(), &fakeReserver{}, metrics.NewRegistry(), log)); err != nil {
		b.Fatal(err)
	}
	go server.Accept(listener)
	client := NewClient(Options{
		Gate: "edge-domain-1/0a1b2c3d", QuotaServers: func() []string { return []string{listener.Addr().String()} },
		Workspaces: func() int { return 1 },
		Dial:       relay.TCPDialer(), Log: log, Metrics: metrics.NewRegistry(),
	})
	for b.Loop() {
		r, err := client.Reserve(b.Context(), prepaid.ReservationRequest{Workspace: "workspace-7", Paid: 1 << 40, Bound: 9000})
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(9000)
	}
}
