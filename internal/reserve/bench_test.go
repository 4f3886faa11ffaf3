package reserve

import (
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/relay"
)

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
