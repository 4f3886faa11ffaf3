package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const maxBodyBytes = 8 << 20

// Handler returns the engine's HTTP API. While the engine is down, and on a crash,
// it closes connections without a response.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletions)
	mux.HandleFunc("POST /v1/completions", e.serveCompletions)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.cachedLoad()) })
	mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveCommand)
	mux.HandleFunc("GET /kv/{hash}", e.serveExport)
	mux.HandleFunc("PUT /kv/{hash}", e.serveImport)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]string{"status": "ok", "boot": e.bootID()})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, up := e.alive(); !up {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"message": err.Error(), "code": status}})
}

// completionBody is the part of the completions and chat completions request
// formats that the stand-in supports.
type completionBody struct {
	Model               string        `json:"model"`
	Prompt              string        `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	Priority            int           `json:"priority"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// promptText returns the text that is split into hashed prompt blocks.
func (b *completionBody) promptText() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return text.String()
}

func (e *Engine) serveCompletions(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !body.Stream {
		writeError(w, http.StatusBadRequest, errors.New("the stand-in answers streamed requests only"))
		return
	}
	req := Request{
		ID: r.Header.Get("X-Request-Id"), Model: body.Model, Prompt: body.promptText(),
		MaxTokens: max(body.MaxTokens, body.MaxCompletionTokens), Priority: body.Priority,
		Chat: strings.Contains(r.URL.Path, "/chat/"),
	}
	if req.ID == "" {
		req.ID = strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	err := e.Submit(req)
	if errors.Is(err, ErrDown) {
		panic(http.ErrAbortHandler) // a process that has ended sends no response
	}
	if err != nil {
		status := map[error]int{ErrDuplicate: http.StatusConflict, ErrNoModel: http.StatusNotFound}[err]
		if status == 0 {
			status = http.StatusBadRequest
		}
		writeError(w, status, err)
		return
	}
	e.streamEvents(w, r, req.ID, 0)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || after < 0 {
		after = 0
	}
	e.streamEvents(w, r, r.PathValue("id"), after)
}

// streamEvents writes the events of a stream with IDs above after, until the stream
// ends, the client disconnects, or the engine crashes. Event IDs count from 1, so event
// n carries the token with index n-1; the usage chunk has the next ID.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, id string, after int) {
	crashed, _ := e.alive()
	s := e.attach(id)
	if s == nil {
		writeError(w, http.StatusNotFound, errors.New("unknown stream"))
		return
	}
	defer e.detach(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", id)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	out := eventWriter{w: w, model: s.req.Model, id: id, chat: s.req.Chat}
	for {
		tokens, done, canceled, changed := e.next(s, after)
		for _, t := range tokens {
			out.token(t)
			after++
		}
		if canceled {
			panic(http.ErrAbortHandler)
		}
		if done {
			out.end(s.tokens[len(s.tokens)-1], after)
			return
		}
		_ = flusher.Flush()
		select {
		case <-changed:
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// eventWriter encodes the chunks of one response as server-sent events.
type eventWriter struct {
	w         io.Writer
	model, id string
	chat      bool
}

type chunk struct {
	ID       string       `json:"id"`
	Object   string       `json:"object"`
	Created  int64        `json:"created"`
	Model    string       `json:"model"`
	Choices  []any        `json:"choices"`
	TokenIDs []int        `json:"token_ids"`
	Usage    *usageFields `json:"usage,omitempty"`
}

type usageFields struct {
	Prompt  int `json:"prompt_tokens"`
	Output  int `json:"completion_tokens"`
	Total   int `json:"total_tokens"`
	Details struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newUsage(u Usage) *usageFields {
	f := &usageFields{Prompt: u.Prompt, Output: u.Output, Total: u.Prompt + u.Output}
	f.Details.Cached = u.Cached
	return f
}

func (out *eventWriter) newChunk() chunk {
	c := chunk{ID: "cmpl-" + out.id, Object: "text_completion", Model: out.model, Choices: []any{}, TokenIDs: []int{}}
	if out.chat {
		c.ID, c.Object = "chatcmpl-"+out.id, "chat.completion.chunk"
	}
	return c
}

func (out *eventWriter) event(id int, c chunk) {
	encoded, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(out.w, "id: %d\ndata: %s\n\n", id, encoded)
}

func (out *eventWriter) token(t Token) {
	c := out.newChunk()
	c.TokenIDs = []int{t.Value}
	var finish any
	if t.Finish != "" {
		finish = t.Finish
	}
	choice := map[string]any{"index": 0, "finish_reason": finish}
	if out.chat {
		delta := map[string]string{"content": t.Text}
		if t.Index == 0 {
			delta["role"] = "assistant"
		}
		choice["delta"] = delta
	} else {
		choice["text"] = t.Text
	}
	c.Choices = []any{choice}
	out.event(t.Index+1, c)
}

// end writes the usage chunk, if its ID is above after, and the [DONE] event.
func (out *eventWriter) end(last Token, after int) {
	id := last.Index + 2
	if after < id {
		c := out.newChunk()
		c.Usage = newUsage(last.Usage)
		out.event(id, c)
	}
	_, _ = fmt.Fprint(out.w, "data: [DONE]\n\n")
}

// serveCancel cancels a request and responds with its usage up to then.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	usage, found := e.Cancel(r.PathValue("id"))
	if !found {
		writeError(w, http.StatusNotFound, errors.New("unknown stream"))
		return
	}
	writeJSON(w, map[string]any{"usage": newUsage(usage)})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events, next := e.core.cache.eventsAfter(time.Now(), after)
	e.mu.Unlock()
	writeJSON(w, map[string]any{"events": events, "next": next})
}
