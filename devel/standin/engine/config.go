// Package engine is a stand-in for a model engine. It simulates continuous
// batching in a step loop, a bounded prefix cache, priorities, resumable token
// streams, stale load reports, delayed and lossy cache events, commands with
// fencing tokens, and crashes on request. The generated text depends on the prompt
// alone. A log of the requests is the ground truth for checkers.
//
// Core holds the engine's logic and never reads a clock, so that tests can drive it in
// virtual time. Engine drives a Core in real time and serves it over HTTP.
package engine

import "time"

const (
	// bytesPerToken is the number of prompt bytes per token.
	bytesPerToken = 4
	// tokensPerBlock is the size of a KV block, in tokens. A KV block has the 256
	// bytes of a prompt block that internal/prefix hashes.
	tokensPerBlock = 64
)

// Markers in prompts that control the response.
const (
	// EchoOpen starts a marker that the response repeats: [[echo:TEXT]]. Checkers
	// use it to match a response to its request.
	EchoOpen = "[[echo:"
	// LengthOpen starts a marker that sets the length of the response in tokens:
	// [[len:N]].
	LengthOpen = "[[len:"
	// CrashMarker makes the engine crash while it runs the request.
	CrashMarker = "[[crash]]"
	markerClose = "]]"
)

// Config configures an engine. Zero values mean the defaults given here.
type Config struct {
	// Name is part of the boot ID in health responses.
	Name string
	// Models are the models that are loaded at start; default "standin".
	Models []string
	// MaxRunning is the maximum number of sequences in a batch; default 32.
	MaxRunning int
	// StepBase, StepPerSequence and StepPerPrefillToken add up to the duration of
	// a step; defaults 5 ms, 50 us and 20 us.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	// PrefillChunk is the maximum number of prompt tokens that one step
	// prefills; default 2048.
	PrefillChunk int
	// KVBlocks is the KV memory for running sequences and cached prefixes, in
	// blocks of 64 tokens; default 8192.
	KVBlocks int
	// KVBytesPerBlock is the size of an exported block; default 1024 bytes.
	KVBytesPerBlock int
	// EventDelay is the time until a cache event becomes visible. EventLoss is
	// the probability, 0 to 1, that an event is lost. Seed determines which ones are.
	EventDelay time.Duration
	EventLoss  float64
	Seed       uint64
	// LoadLag is the maximum age of a load report.
	LoadLag time.Duration
	// ChecksFencingToken makes the engine reject commands with a stale fencing token.
	ChecksFencingToken bool
	// CrashAfterTokens is the number of tokens that a request with CrashMarker
	// generates before the engine crashes.
	CrashAfterTokens int
	// RestartTime is the downtime after a crash; default 2 s.
	RestartTime time.Duration
	// DetachGrace is the time after which a running stream without readers is
	// canceled; default 5 s.
	DetachGrace time.Duration
	// Retain is the time for which a finished stream can be resumed; default 30 s.
	Retain time.Duration
	// WeightsURL is the base URL of the weight store from which load commands
	// fetch weights. If it is empty, loads take no time.
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
	// ID is the attempt ID that the agent sent.
	ID     string
	Model  string
	Prompt string
	// MaxTokens limits the output; 0 means no limit.
	MaxTokens int
	// Priority is higher for more urgent requests.
	Priority int
	// Chat selects the chunk format of the chat completions API.
	Chat bool
}

// Usage is the token usage of a request.
type Usage struct {
	Prompt, Output, Cached int
}

// Token is one generated token.
type Token struct {
	// ID is the ID of the request.
	ID string
	// Index is the position in the response, from 0.
	Index int
	Text  string
	// Value is the token ID.
	Value int
	// Finish is the finish reason, "stop" or "length", of the last token, else
	// empty.
	Finish string
	Usage  Usage
}

// Values of RequestRecord.Ending.
const (
	EndRunning   = "running"
	EndStop      = "stop"
	EndLength    = "length"
	EndCanceled  = "canceled"
	EndCrashed   = "crashed"
	EndDuplicate = "duplicate"
)

// RequestRecord is an entry of the ground-truth log: one request that was queued, or
// rejected as a duplicate.
type RequestRecord struct {
	ID string
	// Echo is the text of the prompt's echo marker.
	Echo         string
	PromptTokens int
	CachedTokens int
	// Prefilled is the number of prompt tokens that were computed rather than
	// taken from the cache.
	Prefilled int
	// Tokens is the number of generated tokens.
	Tokens    int
	Submitted time.Time
	// Start is zero if the request never left the queue. End is zero if it has not
	// ended.
	Start, End time.Time
	Ending     string
}
