// Package engine is a stand-in for a model engine: continuous batching over a
// step loop, a prefix cache of limited memory, priorities, resumable token
// streams, lagging load figures, late and incomplete cache events, orders with
// fence numbers, and crashes on request. It generates text that depends on the
// prompt alone and keeps a log of what it really ran, which checkers use as the
// ground truth.
//
// Core holds the engine's logic and never reads a clock; a simulator can drive it
// in virtual time. Engine drives a Core in real time and offers it over HTTP.
package engine

import "time"

// Token counts of the stand-in.
const (
	// bytesPerToken is how many prompt bytes make one token.
	bytesPerToken = 4
	// tokensPerBlock is the length of a KV block: one hashed prompt block.
	tokensPerBlock = 64
)

// Markers that a prompt may hold.
const (
	// EchoOpen starts a marker that the answer repeats: [[echo:TEXT]]. It shows
	// a checker whose answer it reads.
	EchoOpen = "[[echo:"
	// LengthOpen starts a marker that sets the answer's length in tokens:
	// [[len:N]].
	LengthOpen = "[[len:"
	// CrashMarker makes the engine crash while it runs the request.
	CrashMarker = "[[crash]]"
	markerClose = "]]"
)

// Config holds the parameters of one engine. Zero values mean the defaults given
// here.
type Config struct {
	// Name appears in health answers.
	Name string
	// Models are the models loaded at start; default "standin".
	Models []string
	// MaxRunning is the number of sequences in one batch; default 32.
	MaxRunning int
	// StepBase, StepPerSequence and StepPerPrefillToken make up the time of one
	// step; defaults 5 ms, 50 us and 20 us.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	// PrefillChunk is the most prompt tokens read in one step; default 2048.
	PrefillChunk int
	// KVBlocks is the memory for running sequences and cached prefixes, in
	// blocks of 64 tokens; default 8192.
	KVBlocks int
	// KVBytesPerBlock is the size of an exported block; default 1024 bytes.
	KVBytesPerBlock int
	// EventDelay is how late a cache event becomes visible; EventLoss is the
	// share of events that never do. Seed fixes which.
	EventDelay time.Duration
	EventLoss  float64
	Seed       uint64
	// LoadLag is the age that a load answer may have.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse orders with an old fence number.
	ChecksFence bool
	// CrashAfterTokens is how many tokens a request with CrashMarker emits
	// before the crash.
	CrashAfterTokens int
	// RestartTime is how long the engine is away after a crash; default 2 s.
	RestartTime time.Duration
	// DetachGrace is how long a stream without a reader goes on; default 5 s.
	DetachGrace time.Duration
	// Retain is how long a finished stream can be resumed; default 30 s.
	Retain time.Duration
	// WeightsURL is the base address of the weight store that load orders read
	// from; empty makes loads instant.
	WeightsURL string
}

func (c Config) withDefaults() Config {
	if len(c.Models) == 0 {
		c.Models = []string{"standin"}
	}
	setDefault(&c.MaxRunning, 32)
	setDefault(&c.StepBase, 5*time.Millisecond)
	setDefault(&c.StepPerSequence, 50*time.Microsecond)
	setDefault(&c.StepPerPrefillToken, 20*time.Microsecond)
	setDefault(&c.PrefillChunk, 2048)
	setDefault(&c.KVBlocks, 8192)
	setDefault(&c.KVBytesPerBlock, 1024)
	setDefault(&c.RestartTime, 2*time.Second)
	setDefault(&c.DetachGrace, 5*time.Second)
	setDefault(&c.Retain, 30*time.Second)
	return c
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// Request is one sequence to generate.
type Request struct {
	// ID is the attempt id that the agent sent.
	ID     string
	Model  string
	Prompt string
	// MaxTokens limits the answer, 0 for no limit but the text's natural end.
	MaxTokens int
	// Priority is higher for more urgent work.
	Priority int
	// Chat selects the chunk format of chat completions.
	Chat bool
}

// Usage counts the tokens of one request.
type Usage struct {
	Prompt, Output, Cached int
}

// Token is one generated token.
type Token struct {
	ID    string
	Index int
	Text  string
	Value int
	// Finish is "stop" or "length" with the last token, else empty.
	Finish string
	Usage  Usage
}

// Ways in which a run can end.
const (
	EndRunning   = "running"
	EndStop      = "stop"
	EndLength    = "length"
	EndCanceled  = "canceled"
	EndCrashed   = "crashed"
	EndDuplicate = "duplicate"
)

// Run is an entry of the ground-truth log. A request that only waited has a zero
// Start.
type Run struct {
	ID           string
	Echo         string
	PromptTokens int
	CachedTokens int
	// Prefilled counts the prompt tokens that were really read.
	Prefilled  int
	Tokens     int
	Submitted  time.Time
	Start, End time.Time
	Ending     string
}
