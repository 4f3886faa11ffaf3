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

const (
	// crashRecheckDelay is the time from the end of a connection to the second check for a crash.
	crashRecheckDelay = 100 * time.Millisecond
	// answerBeginning is how long the beginning of a stream lasts, from its first event. A server
	// that crashes in it may have been crashed by the stream's request.
	answerBeginning = 500 * time.Millisecond
)

// Quarantine keeps requests that crash servers from all servers. suspect.Shared implements it.
type Quarantine interface {
	// Check returns nil if a request with these fingerprints may be sent, or a *verdict.Error
	// with verdict NotRun.
	Check(ctx context.Context, fingerprints []uint64) error
	// ReportCrash reports a crash of a server with a request in progress.
	ReportCrash(crash suspect.Crash)
	// Suspected reports whether a crash counts against one of the fingerprints.
	Suspected(fingerprints []uint64) bool
	// ReportSound reports that a server has answered a request, whole or beyond the beginning,
	// and lives.
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
	err := p.gate.opts.Quarantine.Check(p.ctx, p.fingerprints())
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

// noteEvents notes that an attempt has sent events, and reports the request as sound if they are
// not the beginning of its answer.
func (p *proxyRequest) noteEvents(attempt *fleet.Attempt) {
	now := time.Now()
	if p.stream.answeredBy != attempt {
		p.stream.answeredBy, p.stream.answeredSince = attempt, now
	}
	if now.Sub(p.stream.answeredSince) >= answerBeginning {
		p.reportSound()
	}
}

// causedCrash reports a crash if the server of a failed attempt no longer accepts connections. It
// returns whether the request must not be sent to another server: it was in progress at an earlier
// crash, or its answer had begun, with no event so far, and one of its fingerprints was suspected. Only
// then the result of the check is waited for. A server that has sent events beyond the beginning of the
// answer was not crashed by the request.
func (p *proxyRequest) causedCrash(attempt *fleet.Attempt, err error) bool {
	if !connectionEnded(err) {
		return false
	}
	candidate := suspect.Candidate{Fingerprints: p.fingerprints()}
	if p.stream.answeredBy == attempt {
		if time.Since(p.stream.answeredSince) >= answerBeginning {
			return false
		}
		candidate.Answering = true
	} else {
		candidate.Begun = attempt.TimeToFirstByte() > 0
	}
	whole := candidate.Fingerprints[len(candidate.Fingerprints)-1:]
	if !candidate.Begun && !p.gate.opts.Quarantine.Suspected(whole) {
		go p.gate.checkCrash(attempt.Server(), candidate)
		return false
	}
	suspected := p.gate.opts.Quarantine.Suspected(candidate.Fingerprints)
	if p.gate.reportIfCrashed(attempt.Server(), candidate) {
		return suspected
	}
	go p.gate.recheckCrash(attempt.Server(), candidate)
	return false
}

// checkUnmarkedEnd checks a server whose stream has ended with its connection, within the beginning
// of the answer: either the answer is complete, or the server has crashed.
func (p *proxyRequest) checkUnmarkedEnd(attempt *fleet.Attempt) {
	if p.soundReported {
		return
	}
	p.soundReported = true
	candidate := suspect.Candidate{Fingerprints: p.fingerprints(), Answering: true}
	go func() {
		if !p.gate.recheckCrash(attempt.Server(), candidate) {
			p.gate.opts.Quarantine.ReportSound(candidate.Fingerprints)
		}
	}()
}

// checkCrash checks for a crash at once and once more.
func (g *Gate) checkCrash(s *fleet.Server, candidate suspect.Candidate) {
	if !g.reportIfCrashed(s, candidate) {
		g.recheckCrash(s, candidate)
	}
}

// recheckCrash checks for a crash after crashRecheckDelay, because a server can end its connections
// before it stops listening. It reports whether the server has crashed.
func (g *Gate) recheckCrash(s *fleet.Server, candidate suspect.Candidate) bool {
	time.Sleep(crashRecheckDelay)
	return g.reportIfCrashed(s, candidate)
}

// connectionEnded reports whether an attempt failed because the server closed or reset its
// connection.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errNoEvents) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// reportIfCrashed reports a crash of a server with a request in progress, unless the server still
// accepts connections. It reports whether the server has crashed. Concurrent checks of a server are
// merged, so that the check belongs to no request.
func (g *Gate) reportIfCrashed(s *fleet.Server, candidate suspect.Candidate) bool {
	listening, _, _ := g.crashChecks.Do(s.ID, func() (any, error) {
		return g.opts.Pool.Listening(context.Background(), s.Address), nil
	})
	if listening == true {
		return false
	}
	g.stats.serverCrashes.Inc(1)
	g.opts.Log.Info("server crashed with a request in progress", "server", s.ID, "started_unix_ms", s.StartedUnixMilli,
		"head_only", candidate.Begun, "answering", candidate.Answering)
	g.opts.Quarantine.ReportCrash(suspect.Crash{
		ID: s.ID + "@" + strconv.FormatInt(s.StartedUnixMilli, 10), At: time.Now().UnixMilli(), Candidates: []suspect.Candidate{candidate},
	})
	return true
}
