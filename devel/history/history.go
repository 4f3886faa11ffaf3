// Package history defines the records of a load test: the requests of callers and
// their responses, the executions that backend servers recorded, and the bills. The
// load generator, the fault scripts, the demo, the checker and the report share it.
// It only reads and writes files, and must not know the rules that the checker
// verifies.
package history

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Kinds of requests.
const (
	KindModel   = "model"
	KindService = "service"
)

// Verdicts that callers receive.
const (
	VerdictRan     = "ran"
	VerdictNotRun  = "not-run"
	VerdictUnknown = "unknown"
)

// Log is the history of one load test. All times are offsets from Started.
type Log struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Rate       float64       `json:"rate_per_second"`
	Started    time.Time     `json:"started"`
	Duration   time.Duration `json:"duration_ns"`

	Requests []Request `json:"requests"`
	// GroundTruth is set if Executions, Bills, Losses and Budgets are known. A load
	// test against a remote deployment has only the callers' records.
	GroundTruth bool        `json:"truth"`
	Executions  []Execution `json:"executions,omitempty"`
	Bills       []Bill      `json:"bills,omitempty"`
	Losses      []Loss      `json:"losses,omitempty"`
	Budgets     []Budget    `json:"budgets,omitempty"`
	// Kills lists the processes that were killed without a drain.
	Kills  []Kill       `json:"kills,omitempty"`
	Faults []Fault      `json:"faults,omitempty"`
	Link   []LinkSample `json:"link,omitempty"`
}

// Request is one request of a caller with all its tries: the first and the retries.
type Request struct {
	// ID is the marker that the request carries and that its response echoes.
	ID        string `json:"id"`
	Class     string `json:"class"`
	Workspace string `json:"workspace"`
	Budget    string `json:"budget"`
	Kind      string `json:"kind"`
	Method    string `json:"method"`
	Target    string `json:"target"`
	// Key is the idempotency key, empty if there is none.
	Key        string `json:"key,omitempty"`
	Idempotent bool   `json:"idempotent"`
	Stream     bool   `json:"stream"`
	// Bound is the maximum cost of the request, in tokens.
	Bound int64 `json:"bound_tokens"`
	// WantHash is the xxHash of the text of the expected response, 0 if the generator
	// does not know it.
	WantHash uint64 `json:"want_hash,omitempty"`
	// Intended is the scheduled start of the request. Latencies are measured from
	// it.
	Intended time.Duration `json:"intended_ns"`
	Tries    []Try         `json:"tries"`
}

// Try is one HTTP request of a caller and its response. It is not an attempt, which is
// one dispatch of a request from a router to a server: a try leads to none, one or more
// attempts.
type Try struct {
	Router string        `json:"router"`
	Start  time.Duration `json:"start_ns"`
	End    time.Duration `json:"end_ns"`
	// FirstToken is when the first token of a stream or the whole body of another
	// response was received, 0 if none was.
	FirstToken time.Duration `json:"first_token_ns,omitempty"`
	// Gaps are the times between the tokens of a stream.
	Gaps []time.Duration `json:"gaps_ns,omitempty"`
	// Status is the HTTP status, 0 if there was no response.
	Status    int    `json:"status,omitempty"`
	Verdict   string `json:"verdict,omitempty"`
	Code      string `json:"code,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// Echo is the marker found in the response, empty if there is none.
	Echo string `json:"echo,omitempty"`
	// Tokens is the number of tokens of a model's response, Bytes the size of the body.
	Tokens int   `json:"tokens,omitempty"`
	Bytes  int64 `json:"bytes,omitempty"`
	// Hash is the xxHash of the received text of a model's response.
	Hash uint64 `json:"hash,omitempty"`
	// Complete is set unless the caller could see that the response is truncated.
	Complete bool `json:"complete"`
	// Malformed is set if the body does not parse as its content type.
	Malformed bool   `json:"malformed,omitempty"`
	Err       string `json:"error,omitempty"`
}

// OK reports whether the response has a 2xx status and is complete.
func (t *Try) OK() bool { return t.Status >= 200 && t.Status < 300 && t.Complete }

// LastTry returns the last try, nil if there is none.
func (r *Request) LastTry() *Try {
	if len(r.Tries) == 0 {
		return nil
	}
	return &r.Tries[len(r.Tries)-1]
}

// Values of Execution.Ending. EndStop and EndLength are normal ends.
const (
	EndStop     = "stop"
	EndLength   = "length"
	EndCanceled = "canceled"
	EndCrashed  = "crashed"
)

// Execution is one execution of a request, as recorded by the backend server.
type Execution struct {
	Server string `json:"server"`
	Kind   string `json:"kind"`
	// Attempt is the attempt ID, empty for a plain service, which does not receive
	// one.
	Attempt string        `json:"attempt,omitempty"`
	Marker  string        `json:"marker"`
	Key     string        `json:"key,omitempty"`
	Start   time.Duration `json:"start_ns"`
	End     time.Duration `json:"end_ns"`
	// PromptTokens and Tokens are 0 for a plain service.
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	Ending       string `json:"ending"`
}

// EndedNormally reports whether the execution was neither canceled nor ended by a
// crash.
func (e *Execution) EndedNormally() bool { return e.Ending == EndStop || e.Ending == EndLength }

// Bill is a bill that the store holds.
type Bill struct {
	Budget    string `json:"budget"`
	Request   string `json:"request"`
	Attempt   string `json:"attempt"`
	Target    string `json:"target"`
	Server    string `json:"server"`
	Amount    int64  `json:"amount_tokens"`
	Estimated bool   `json:"estimated,omitempty"`
	// At is when the request ended.
	At time.Duration `json:"at_ns"`
}

// Loss is an amount that counts as spent without a known bill.
type Loss struct {
	Budget string        `json:"budget"`
	Amount int64         `json:"amount_tokens"`
	At     time.Duration `json:"at_ns"`
}

// Budget is the durable state of a budget at the end of the load test, in tokens.
type Budget struct {
	ID    string `json:"id"`
	Paid  int64  `json:"paid_tokens"`
	Spent int64  `json:"spent_tokens"`
	Lost  int64  `json:"lost_tokens"`
}

// Kill is the end of a process without a drain.
type Kill struct {
	Process string        `json:"process"`
	At      time.Duration `json:"at_ns"`
}

// Fault is an executed action of the fault script.
type Fault struct {
	At     time.Duration `json:"at_ns"`
	Action string        `json:"action"`
	Target string        `json:"target,omitempty"`
	Err    string        `json:"error,omitempty"`
}

// LinkSample is the total number of bytes sent between regions until At.
type LinkSample struct {
	At    time.Duration `json:"at_ns"`
	Bytes int64         `json:"bytes"`
}

// WriteFile writes value to a file as JSON.
func WriteFile(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadFile decodes a file written by WriteFile into a value.
func ReadFile(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
