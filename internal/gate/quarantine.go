package gate

import (
	"context"
	"errors"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/suspect"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Quarantine keeps requests that crash servers from all servers. suspect.Shared implements it.
type Quarantine interface {
	// Check returns nil if a request with these fingerprints may be sent, or a *verdict.Error
	// with verdict NotRun.
	Check(ctx context.Context, fingerprints []uint64) error
	// ReportCrash reports a crash of a server with a request in progress.
	ReportCrash(crash suspect.Crash)
	// ReportSound reports that a server has begun to answer a request and lives.
	ReportSound(fingerprints []uint64)
}

// fingerprints returns the fingerprints of the request, from the one that it shares with most
// others to its own: the parts of its prompt but for the last, and the whole request.
func (p *proxyRequest) fingerprints() []uint64 {
	if p.fingerprintList != nil {
		return p.fingerprintList
	}
	list := make([]uint64, 0, len(p.requestInfo.Parts)+1)
	for i := 0; i < len(p.requestInfo.Parts)-1; i++ {
		list = append(list, p.requestInfo.Parts[i].ID)
	}
	p.fingerprintList = append(list, p.wholeFingerprint())
	return p.fingerprintList
}

// wholeFingerprint returns a hash of all by which a server can tell requests apart, without their
// IDs.
func (p *proxyRequest) wholeFingerprint() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	workspace := ""
	if p.workspace != nil {
		workspace = p.workspace.Name
	}
	// Writing to an xxhash digest never fails. The zero bytes separate the fields.
	for _, field := range []string{p.r.Method, p.r.Host, p.r.RequestURI, workspace} {
		_, _ = digest.WriteString(field + "\x00")
	}
	_, _ = digest.Write(p.body)
	return digest.Sum64()
}

// quarantined returns the refusal of a request that may crash its server, nil if it may be sent.
func (p *proxyRequest) quarantined() *verdict.Error {
	err := p.gate.opts.Quarantine.Check(p.r.Context(), p.fingerprints())
	if err == nil {
		return nil
	}
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		refusal = verdict.New(verdict.NotRun, verdict.CodeQuarantined, "the quarantine cannot be checked").WithCause(err)
	}
	return refusal
}

// reportSound reports once that the request does not crash its server.
func (p *proxyRequest) reportSound() {
	if !p.soundReported {
		p.soundReported = true
		p.gate.opts.Quarantine.ReportSound(p.fingerprints())
	}
}

// causedCrash reports a crash if the server of a failed attempt no longer accepts connections, and
// returns whether the request has probably caused it: its answer had begun, with no event so far. Only
// then the check is made at once. A server that has sent an event was not crashed by the request.
func (p *proxyRequest) causedCrash(attempt *fleet.Attempt, err error) bool {
	if !connectionEnded(err) || p.r.Context().Err() != nil || p.stream.answeredBy == attempt {
		return false
	}
	begun := attempt.TimeToFirstByte() > 0
	candidate := suspect.Candidate{Fingerprints: p.fingerprints(), Begun: begun}
	if begun {
		return p.gate.reportIfCrashed(p.r.Context(), attempt.Server(), candidate)
	}
	// The request may be retried meanwhile, so its context must not end the check.
	go p.gate.reportIfCrashed(context.WithoutCancel(p.r.Context()), attempt.Server(), candidate)
	return false
}

// connectionEnded reports whether an attempt failed because the server closed or reset its
// connection.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// reportIfCrashed reports a crash of a server with a request in progress, unless the server still
// accepts connections. It reports whether the server has crashed.
func (g *Gate) reportIfCrashed(ctx context.Context, s *fleet.Server, candidate suspect.Candidate) bool {
	listening, _, _ := g.crashChecks.Do(s.ID, func() (any, error) { return g.opts.Pool.Listening(ctx, s.Address), nil })
	if listening == true {
		return false
	}
	g.stats.serverCrashes.Inc(1)
	g.opts.Quarantine.ReportCrash(suspect.Crash{
		ID: s.ID + "@" + strconv.FormatInt(s.StartedUnixMilli, 10), At: time.Now().UnixMilli(), Candidates: []suspect.Candidate{candidate},
	})
	return true
}
