package wire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// Times of a session.
const (
	// HandshakeTimeout bounds the exchange of hellos.
	HandshakeTimeout = 5 * time.Second
	// HeartbeatInterval is how long a session in use may be silent before it
	// sends a ping.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is how long a session in use may be silent before it is
	// closed.
	HeartbeatTimeout = 3 * time.Second
	// IdleTimeout is how long an unused session stays open. It is long because a
	// new session needs a renewed lot before it carries requests.
	IdleTimeout = 10 * time.Minute
)

// watchInterval is how often a session checks its peer, so that a silent peer is
// noticed within HeartbeatTimeout plus this.
const watchInterval = HeartbeatInterval / 3

const nonceBytes = 16

// Errors of a session.
var (
	ErrVersion          = errors.New("no common protocol version")
	ErrAuth             = errors.New("peer failed authentication")
	ErrHeartbeatTimeout = errors.New("session silent for too long")
	ErrClosed           = errors.New("session closed")
)

// Options describe this process to its peers.
type Options struct {
	// Hello identifies this process; versions and nonce are filled in.
	Hello Hello
	// Secret is the deployment's shared secret for mutual authentication.
	Secret []byte
	// TLS, if not nil, encrypts sessions. A listener requires a client
	// certificate if the configuration says so.
	TLS *tls.Config
}

// Services are what a process offers to peers on its sessions. A nil field
// offers nothing.
type Services struct {
	// RPC returns the server for calls of a peer, nil to refuse them all.
	RPC func(peer Hello) *rpc.Server
	// Exec runs an attempt; Attach continues one. Each owns the stream until it
	// returns.
	Exec   func(ctx context.Context, peer Hello, s *AgentStream, req *ExecRequest)
	Attach func(ctx context.Context, peer Hello, s *AgentStream, req *AttachRequest)
}

// Session is an authenticated, multiplexed connection to one peer incarnation.
// It is safe for concurrent use.
type Session struct {
	// Peer is the other side's hello.
	Peer Hello
	// Established is when the handshake ended, by the local monotonic clock.
	Established time.Time
	// Version is the protocol version in use.
	Version uint16

	conn     *countingConn
	mux      *yamux.Session
	services Services
	ctx      context.Context
	cancel   context.CancelCauseFunc
	inUse    atomic.Int64
	lastUse  atomic.Int64 // nanoseconds since conn.start
	// asked is the time of the first use since the last bytes came in, in
	// nanoseconds since conn.start. Silence is counted from it, not from the last
	// use: steady new requests would otherwise hide that none is answered.
	asked   atomic.Int64
	pinging atomic.Bool
	pinged  atomic.Int64 // time of the last ping, in nanoseconds since conn.start

	rpcMu     sync.Mutex
	rpcClient *rpc.Client
}

// Dial connects to a peer and authenticates both sides.
func Dial(ctx context.Context, address string, opts Options, services Services) (*Session, error) {
	dialer := net.Dialer{Timeout: HandshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return Connect(ctx, conn, opts, services)
}

// Connect is Dial over a connection that exists already. It owns conn.
func Connect(ctx context.Context, conn net.Conn, opts Options, services Services) (*Session, error) {
	if opts.TLS != nil {
		conn = tls.Client(conn, opts.TLS)
	}
	// The handshake does not outlive ctx.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	s, err := newSession(conn, opts, services, true)
	if !stop() && err == nil {
		s.Close()
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Accept authenticates the peer of an accepted connection.
func Accept(conn net.Conn, opts Options, services Services) (*Session, error) {
	if opts.TLS != nil {
		conn = tls.Server(conn, opts.TLS)
	}
	return newSession(conn, opts, services, false)
}

func newSession(conn net.Conn, opts Options, services Services, client bool) (*Session, error) {
	counting := &countingConn{Conn: conn, start: time.Now()}
	peer, version, err := handshake(counting, opts, client)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	mux, err := newMux(&joinConn{Conn: counting}, client)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s := &Session{
		Peer: peer, Established: time.Now(), Version: version,
		conn: counting, mux: mux, services: services,
	}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	s.lastUse.Store(int64(counting.since()))
	go s.acceptStreams()
	go s.watch()
	return s, nil
}

func newMux(conn net.Conn, client bool) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // watch sends pings only while requests are in progress
	cfg.ConnectionWriteTimeout = HeartbeatTimeout
	cfg.StreamCloseTimeout = HeartbeatTimeout
	cfg.LogOutput = io.Discard
	if client {
		return yamux.Client(conn, cfg)
	}
	return yamux.Server(conn, cfg)
}

// handshake exchanges hellos and proofs. Both sides send their hello at once;
// the proof is an HMAC over both hellos and the sender's side, so that a proof
// cannot be reflected.
func handshake(conn net.Conn, opts Options, client bool) (Hello, uint16, error) {
	_ = conn.SetDeadline(time.Now().Add(HandshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()

	own := opts.Hello
	own.MinVersion, own.MaxVersion = MinVersion, MaxVersion
	own.Nonce = make([]byte, nonceBytes)
	if _, err := rand.Read(own.Nonce); err != nil {
		return Hello{}, 0, err
	}
	ownBytes, err := encMode.Marshal(own)
	if err != nil {
		return Hello{}, 0, err
	}
	w := &frameWriter{w: conn}
	if err := w.write(FrameHello, 0, 0, ownBytes); err != nil {
		return Hello{}, 0, err
	}
	peerBytes, err := readHelloFrame(conn)
	if err != nil {
		return Hello{}, 0, err
	}
	var peer Hello
	if err := decMode.Unmarshal(peerBytes, &peer); err != nil {
		return Hello{}, 0, fmt.Errorf("%w: hello: %v", ErrMalformed, err)
	}
	version := min(MaxVersion, peer.MaxVersion)
	if version < max(MinVersion, peer.MinVersion) {
		return Hello{}, 0, fmt.Errorf("%w: peer speaks %d to %d", ErrVersion, peer.MinVersion, peer.MaxVersion)
	}
	if err := w.write(FrameHello, 0, 0, proof(opts.Secret, client, ownBytes, peerBytes)); err != nil {
		return Hello{}, 0, err
	}
	peerProof, err := readHelloFrame(conn)
	if err != nil {
		return Hello{}, 0, err
	}
	if !hmac.Equal(peerProof, proof(opts.Secret, !client, peerBytes, ownBytes)) {
		return Hello{}, 0, ErrAuth
	}
	return peer, version, nil
}

// maxHelloBytes bounds what an unauthenticated peer can make this side allocate.
const maxHelloBytes = 4 << 10

// readHelloFrame reads exactly one frame and leaves what follows unread.
func readHelloFrame(conn net.Conn) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(conn, header[:]); err != nil {
		return nil, err
	}
	length := int(header[1])<<16 | int(header[2])<<8 | int(header[3])
	if FrameType(header[0]) != FrameHello || length > maxHelloBytes {
		return nil, ErrMalformed
	}
	payload := make([]byte, length)
	_, err := io.ReadFull(conn, payload)
	return payload, err
}

func proof(secret []byte, client bool, sender, receiver []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	side := byte('s')
	if client {
		side = 'c'
	}
	mac.Write([]byte{side})
	mac.Write(sender)
	mac.Write(receiver)
	return mac.Sum(nil)
}

// Done is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.ctx.Done() }

// Err returns why the session ended, nil while it is open.
func (s *Session) Err() error { return context.Cause(s.ctx) }

// Close ends the session and all its streams.
func (s *Session) Close() { s.fail(ErrClosed) }

// Bytes returns the bytes received and sent so far.
func (s *Session) Bytes() (received, sent int64) {
	return s.conn.received.Load(), s.conn.sent.Load()
}

func (s *Session) fail(err error) {
	s.cancel(err)
	_ = s.conn.Close()
	_ = s.mux.Close()
}

// use marks the session as in use until the returned function is called.
func (s *Session) use() func() {
	now := int64(s.conn.since())
	s.inUse.Add(1)
	s.lastUse.Store(now)
	if asked := s.asked.Load(); asked <= s.conn.lastRead.Load() {
		s.asked.CompareAndSwap(asked, now)
	}
	return sync.OnceFunc(func() {
		s.lastUse.Store(int64(s.conn.since()))
		s.inUse.Add(-1)
	})
}

// KeepAlive makes both sides count the session as used now.
func (s *Session) KeepAlive() {
	s.use()()
	go func() { _, _ = s.mux.Ping() }()
}

// watch sends heartbeats while the session is in use and closes it when it is
// silent or idle for too long.
func (s *Session) watch() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.mux.CloseChan():
			s.fail(io.ErrUnexpectedEOF)
			return
		case <-ticker.C:
			s.checkAlive()
		}
	}
}

func (s *Session) checkAlive() {
	now := s.conn.since()
	lastRead, asked := time.Duration(s.conn.lastRead.Load()), time.Duration(s.asked.Load())
	pinged := time.Duration(s.pinged.Load())
	if s.inUse.Load() == 0 && asked <= lastRead && pinged <= lastRead {
		if now-max(time.Duration(s.lastUse.Load()), lastRead) > IdleTimeout {
			s.fail(ErrClosed)
		}
		return
	}
	// Bytes that came in before the first unanswered use say nothing about it.
	switch silence := now - max(lastRead, asked); {
	case silence > HeartbeatTimeout:
		s.fail(ErrHeartbeatTimeout)
	case silence > HeartbeatInterval/2 && s.pinging.CompareAndSwap(false, true):
		s.pinged.Store(int64(now))
		go func() {
			defer s.pinging.Store(false)
			_, _ = s.mux.Ping()
		}()
	}
}

func (s *Session) acceptStreams() {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.fail(err)
			return
		}
		go s.serveStream(stream)
	}
}
