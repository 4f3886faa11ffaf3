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

const (
	// HandshakeTimeout is the timeout of the TCP connect of Dial, and of the handshake.
	// In a Pool both together must end within it.
	HandshakeTimeout = 5 * time.Second
	// HeartbeatInterval is the time without received bytes by which a session in use
	// has sent a ping.
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is the time without received bytes after which a session in
	// use is closed.
	HeartbeatTimeout = 3 * time.Second
	// IdleTimeout is the time after which an unused session is closed. It is long
	// because a new session can use a lot only after the lot's holder has confirmed it
	// in an exchange that began after the session was established.
	IdleTimeout = 10 * time.Minute
)

// livenessCheckInterval is the interval of a session's liveness checks. An
// unresponsive peer is detected within HeartbeatTimeout plus this interval.
const livenessCheckInterval = HeartbeatInterval / 3

const nonceBytes = 16

// Errors of a session.
var (
	ErrVersion          = errors.New("no common protocol version")
	ErrAuth             = errors.New("peer failed authentication")
	ErrHeartbeatTimeout = errors.New("peer unresponsive: heartbeat timed out")
	ErrClosed           = errors.New("session closed")
)

// Options configure the sessions of this process.
type Options struct {
	// Hello identifies this process. The handshake sets the versions and the nonce.
	Hello Hello
	// Secret is the shared secret of the deployment for mutual authentication.
	Secret []byte
	// TLS, if not nil, enables TLS. Its ClientAuth determines whether a listener
	// requires a client certificate.
	TLS *tls.Config
}

// Services are the services that a process offers to its peers. The service of a
// nil field is not offered.
type Services struct {
	// RPC returns the server for the calls of a peer, or nil to refuse all calls.
	RPC func(peer Hello) *rpc.Server
	// Exec runs an attempt. Attach resumes the response of an attempt. Both own
	// the stream until they return.
	Exec   func(ctx context.Context, peer Hello, s *AgentStream, req *ExecRequest)
	Attach func(ctx context.Context, peer Hello, s *AgentStream, req *AttachRequest)
}

// Session is an authenticated, multiplexed connection to one peer incarnation.
// It is safe for concurrent use.
type Session struct {
	// Peer is the hello of the peer.
	Peer Hello
	// Established is the time when the handshake ended, by the local monotonic
	// clock.
	Established time.Time
	// Version is the negotiated protocol version.
	Version uint16

	conn       *countingConn
	mux        *yamux.Session
	services   Services
	ctx        context.Context
	cancel     context.CancelCauseFunc
	activeUses atomic.Int64
	lastUse    atomic.Int64 // in nanoseconds since conn.start
	// unansweredSince is the time of the first use after the last received bytes,
	// in nanoseconds since conn.start. The heartbeat timeout counts from it, not
	// from the last use: a steady flow of new requests would otherwise hide that
	// the peer is unresponsive.
	unansweredSince atomic.Int64
	pingInFlight    atomic.Bool
	lastPing        atomic.Int64 // in nanoseconds since conn.start

	rpcMu     sync.Mutex
	rpcClient *rpc.Client
}

// Dial connects to address over TCP and performs the handshake. It fails with the
// error of the dial or of ctx, ErrVersion, ErrAuth or ErrMalformed.
func Dial(ctx context.Context, address string, opts Options, services Services) (*Session, error) {
	dialer := net.Dialer{Timeout: HandshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return Connect(ctx, conn, opts, services)
}

// Connect performs the handshake of Dial over conn, which it owns from then on.
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

// Accept performs the handshake over an accepted connection, which it owns from
// then on. It fails like Connect.
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
	mux, err := newMux(&coalescingConn{Conn: counting}, client)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s := &Session{
		Peer: peer, Established: time.Now(), Version: version,
		conn: counting, mux: mux, services: services,
	}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	s.lastUse.Store(int64(counting.elapsed()))
	go s.acceptStreams()
	go s.monitor()
	return s, nil
}

func newMux(conn net.Conn, client bool) (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // monitor sends pings, only while the session is in use
	cfg.ConnectionWriteTimeout = HeartbeatTimeout
	cfg.StreamCloseTimeout = HeartbeatTimeout
	cfg.LogOutput = io.Discard
	if client {
		return yamux.Client(conn, cfg)
	}
	return yamux.Server(conn, cfg)
}

// handshake exchanges hellos and proofs. Both sides send their hello first. The
// proof is an HMAC over the sender's side (client or server) and both hellos; the
// side prevents reflection attacks.
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
		return Hello{}, 0, fmt.Errorf("%w: peer supports versions %d to %d", ErrVersion, peer.MinVersion, peer.MaxVersion)
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

// maxHelloBytes limits the memory that an unauthenticated peer can allocate.
const maxHelloBytes = 4 << 10

// readHelloFrame reads exactly one frame, without buffering what follows it.
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

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.ctx.Done() }

// Err returns the reason why the session ended: ErrClosed after Close or when it
// was idle, ErrHeartbeatTimeout, ErrMalformed, ErrFrameTooLarge or an error of the
// connection. It is nil while the session is open.
func (s *Session) Err() error { return context.Cause(s.ctx) }

// Close closes the session and all its streams.
func (s *Session) Close() { s.closeWithError(ErrClosed) }

// Bytes returns the number of bytes received and sent so far.
func (s *Session) Bytes() (received, sent int64) {
	return s.conn.received.Load(), s.conn.sent.Load()
}

func (s *Session) closeWithError(err error) {
	s.cancel(err)
	_ = s.conn.Close()
	_ = s.mux.Close()
}

// beginUse marks the session as in use until the returned function is called. The
// function may be called more than once.
func (s *Session) beginUse() func() {
	now := int64(s.conn.elapsed())
	s.activeUses.Add(1)
	s.lastUse.Store(now)
	if since := s.unansweredSince.Load(); since <= s.conn.lastRead.Load() {
		s.unansweredSince.CompareAndSwap(since, now)
	}
	return sync.OnceFunc(func() {
		s.lastUse.Store(int64(s.conn.elapsed()))
		s.activeUses.Add(-1)
	})
}

// KeepAlive restarts the idle timeout at both ends of the session.
func (s *Session) KeepAlive() {
	s.beginUse()()
	go func() { _, _ = s.mux.Ping() }()
}

// monitor sends pings while the session is in use, and closes the session on
// heartbeat or idle timeout.
func (s *Session) monitor() {
	ticker := time.NewTicker(livenessCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.mux.CloseChan():
			s.closeWithError(io.ErrUnexpectedEOF)
			return
		case <-ticker.C:
			s.checkLiveness()
		}
	}
}

func (s *Session) checkLiveness() {
	now := s.conn.elapsed()
	lastRead, unansweredSince := time.Duration(s.conn.lastRead.Load()), time.Duration(s.unansweredSince.Load())
	lastPing := time.Duration(s.lastPing.Load())
	if s.activeUses.Load() == 0 && unansweredSince <= lastRead && lastPing <= lastRead {
		// The session is unused, and the peer has responded since the last use.
		if now-max(time.Duration(s.lastUse.Load()), lastRead) > IdleTimeout {
			s.closeWithError(ErrClosed)
		}
		return
	}
	// Bytes received before the first unanswered use do not prove that the peer is
	// alive now.
	switch sinceRead := now - max(lastRead, unansweredSince); {
	case sinceRead > HeartbeatTimeout:
		s.closeWithError(ErrHeartbeatTimeout)
	case sinceRead > HeartbeatInterval/2 && s.pingInFlight.CompareAndSwap(false, true):
		s.lastPing.Store(int64(now))
		go func() {
			defer s.pingInFlight.Store(false)
			_, _ = s.mux.Ping()
		}()
	}
}

func (s *Session) acceptStreams() {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.closeWithError(err)
			return
		}
		go s.serveStream(stream)
	}
}
