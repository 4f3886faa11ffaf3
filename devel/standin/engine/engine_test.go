package engine

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/prefix"
)

// runUntilIdle runs steps in virtual time until the core is idle or crashes. It
// returns the tokens in order of generation, and the time.
func runUntilIdle(c *Core, now time.Time) ([]Token, time.Time) {
	var all []Token
	for {
		end, busy := c.Begin(now)
		if !busy {
			return all, now
		}
		now = end
		tokens, crashed := c.End(now)
		if crashed {
			c.Crash(now)
			return all, now
		}
		all = append(all, tokens...)
	}
}

func prompt(shared, own string) string { return strings.Repeat(shared, 300) + own }

// Guards against a prefix cache that saves no prefill or exceeds its memory.
func TestPrefixCacheSavesPrefillWithinItsMemory(t *testing.T) {
	c := qt.New(t)
	core := NewCore(Config{KVBlocks: 40})
	now := time.Unix(0, 0)
	text := prompt("vanilla ", "one [[len:4]]")
	c.Assert(core.Submit(now, Request{ID: "a", Model: "standin", Prompt: text}), qt.IsNil)
	_, now = runUntilIdle(core, now)
	c.Assert(core.Submit(now, Request{ID: "b", Model: "standin", Prompt: prompt("vanilla ", "two [[len:4]]")}), qt.IsNil)
	_, now = runUntilIdle(core, now)
	records := core.Requests()
	c.Assert(records[0].Prefilled, qt.Equals, PromptTokens(text))
	c.Assert(records[1].CachedTokens, qt.Equals, 9*tokensPerBlock)
	c.Assert(records[1].Prefilled+records[1].CachedTokens, qt.Equals, records[1].PromptTokens)

	for i := range 20 {
		own := prompt(fmt.Sprint("tray", i, " "), "[[len:4]]")
		c.Assert(core.Submit(now, Request{ID: fmt.Sprint(i), Model: "standin", Prompt: own}), qt.IsNil)
		_, now = runUntilIdle(core, now)
		c.Assert(core.Load().KVBlocksUsed <= 40, qt.IsTrue)
	}
	c.Assert(core.CachedBlocks(prefix.BlockHashes([]byte(text))), qt.Equals, 0)
	c.Assert(core.cache.reserved, qt.Equals, 0)
	c.Assert(core.Submit(now, Request{ID: "big", Model: "standin", Prompt: "[[len:9999]]"}), qt.Equals, ErrTooLarge)
}

// Guards against a high-priority request that is queued behind others, and against
// a batch that exceeds MaxRunning.
func TestPrioritiesAndBatchSize(t *testing.T) {
	c := qt.New(t)
	core := NewCore(Config{MaxRunning: 2})
	now := time.Unix(0, 0)
	for i, priority := range []int{0, 0, 0, 5} {
		req := Request{ID: fmt.Sprint(i), Model: "standin", Prompt: "[[len:3]]", Priority: priority}
		c.Assert(core.Submit(now, req), qt.IsNil)
	}
	_, busy := core.Begin(now)
	c.Assert(busy, qt.IsTrue)
	c.Assert(core.Load().Running, qt.Equals, 2)
	c.Assert(core.running[0].req.ID, qt.Equals, "3")
	c.Assert(core.Submit(now, Request{ID: "3", Model: "standin"}), qt.Equals, ErrDuplicate)
}

// Guards against text that depends on more than the prompt. Checkers could then not
// detect swapped responses.
func TestOutputDependsOnPromptOnly(t *testing.T) {
	c := qt.New(t)
	core := NewCore(Config{})
	now := time.Unix(0, 0)
	text := "[[echo:order-7]] menu plan"
	for _, id := range []string{"a", "b"} {
		c.Assert(core.Submit(now, Request{ID: id, Model: "standin", Prompt: text, MaxTokens: 5}), qt.IsNil)
	}
	tokens, _ := runUntilIdle(core, now)
	got := map[string]string{}
	for _, token := range tokens {
		got[token.ID] += token.Text
	}
	want, n := ResponseText(text, 5)
	c.Assert(n, qt.Equals, 5)
	c.Assert(got, qt.DeepEquals, map[string]string{"a": want, "b": want})
	c.Assert(want, qt.Contains, "[[echo:order-7]]")
	c.Assert(core.Requests()[0].Ending, qt.Equals, EndLength)
}

// Guards against cache events without the configured delay and loss, which would
// hide bugs in the agent's cache mirror.
func TestCacheEventsAreDelayedAndLossy(t *testing.T) {
	c := qt.New(t)
	core := NewCore(Config{EventDelay: time.Second, EventLoss: 0.5, Seed: 3})
	now := time.Unix(0, 0)
	c.Assert(core.Submit(now, Request{ID: "a", Model: "standin", Prompt: prompt("mango ", "")}), qt.IsNil)
	_, now = runUntilIdle(core, now)
	events, next := core.cache.eventsAfter(time.Unix(0, 0).Add(time.Second/2), 0)
	c.Assert(events, qt.HasLen, 0)
	c.Assert(next, qt.Equals, int64(0))
	events, next = core.cache.eventsAfter(now.Add(time.Second), 0)
	c.Assert(len(events) > 0 && len(events) < 7, qt.IsTrue)
	c.Assert(next, qt.Equals, events[len(events)-1].Seq)
	core.Crash(now)
	_, next = core.cache.eventsAfter(now.Add(time.Minute), next)
	c.Assert(next <= 1, qt.IsTrue)
}

func post(handler http.Handler, id, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	handler.ServeHTTP(w, r)
	return w
}

const chatBody = `{"model":"standin","stream":true,"messages":[{"role":"user","content":"[[len:6]]"}]}`

// Guards against a resumed stream that repeats or skips events.
func TestResumeContinuesAfterTheLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := New(Config{})
		whole := post(e.Handler(), "a", chatBody).Body.String()
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/v1/streams/a", nil)
		r.Header.Set("Last-Event-ID", "4")
		e.Handler().ServeHTTP(w, r)
		at := strings.Index(whole, "id: 5\n")
		c.Assert(at > 0, qt.IsTrue)
		c.Assert(w.Body.String(), qt.Equals, whole[at:])
		c.Assert(strings.Count(whole, `"completion_tokens":6`), qt.Equals, 1)
	})
}

// Guards against a crash that keeps state, or that ends a stream as if it were
// complete.
func TestCrashLosesStateAndRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := New(Config{CrashAfterTokens: 2, RestartTime: time.Second})
		body := strings.Replace(chatBody, "[[len:6]]", "[[len:6]][[crash]]", 1)
		c.Assert(func() { post(e.Handler(), "a", body) }, qt.PanicMatches, ".*abort.*")
		c.Assert(func() { post(e.Handler(), "b", chatBody) }, qt.PanicMatches, ".*abort.*")
		time.Sleep(time.Second)
		synctest.Wait()
		c.Assert(post(e.Handler(), "c", chatBody).Code, qt.Equals, http.StatusOK)
		records := e.Requests()
		c.Assert(records, qt.HasLen, 2)
		c.Assert(records[0].Ending, qt.Equals, EndCrashed)
		c.Assert(records[0].Tokens, qt.Equals, 2)
		c.Assert(records[1].Ending, qt.Equals, EndStop)
	})
}

// Guards against a request that a crashed engine executes: the handler checks that the
// engine is up before it reads the request, so Submit may come after the crash.
func TestNoRunWhileDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := New(Config{RestartTime: time.Minute})
		e.Crash()
		c.Check(e.Submit(Request{ID: "a", Model: "standin", Prompt: "vanilla [[len:4]]"}), qt.IsNotNil)
		time.Sleep(30 * time.Second)
		c.Check(e.Requests(), qt.HasLen, 0)
		time.Sleep(time.Minute)
		c.Check(e.Submit(Request{ID: "a", Model: "standin", Prompt: "vanilla [[len:4]]"}), qt.IsNil)
		time.Sleep(30 * time.Second)
		c.Check(e.Requests(), qt.HasLen, 1)
	})
}

// Guards against an exported prefix that another engine cannot use.
func TestKVExportAndImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		from, to := New(Config{}), New(Config{})
		text := prompt("pistachio ", "[[len:2]]")
		body := fmt.Sprintf(`{"model":"standin","stream":true,"prompt":%q}`, text)
		post(from.Handler(), "a", body)
		hashes := prefix.BlockHashes([]byte(text))
		path := fmt.Sprintf("/kv/%x", hashes[len(hashes)-1])
		exported := httptest.NewRecorder()
		from.Handler().ServeHTTP(exported, httptest.NewRequest(http.MethodGet, path, nil))
		c.Assert(exported.Code, qt.Equals, http.StatusOK)
		imported := httptest.NewRecorder()
		data, _ := io.ReadAll(exported.Body)
		to.Handler().ServeHTTP(imported, httptest.NewRequest(http.MethodPut, path, bytes.NewReader(data)))
		c.Assert(imported.Code, qt.Equals, http.StatusNoContent)
		c.Assert(to.core.CachedBlocks(hashes), qt.Equals, len(hashes))
		c.Assert(to.core.cache.reserved, qt.Equals, 0)
	})
}

// Guards against a crash that leaves connections or the listener open.
func TestServeClosesConnectionsOnCrash(t *testing.T) {
	c := qt.New(t)
	e := New(Config{RestartTime: 20 * time.Millisecond, StepBase: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	ready := make(chan net.Addr, 1)
	served := make(chan error, 1)
	go func() { served <- e.Serve(ctx, "127.0.0.1:0", ready) }()
	url := "http://" + (<-ready).String()
	resp, err := http.Post(url+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"standin","stream":true,"prompt":"[[len:100000]]"}`))
	c.Assert(err, qt.IsNil)
	reader := bufio.NewReader(resp.Body)
	_, err = reader.ReadString('\n')
	c.Assert(err, qt.IsNil)
	e.Crash()
	_, err = io.Copy(io.Discard, reader)
	c.Assert(err, qt.IsNotNil)
	for {
		if resp, err := http.Get(url + "/health"); err == nil {
			_ = resp.Body.Close()
			break
		}
	}
	c.Assert(e.Crashes(), qt.Equals, 1)
	cancel()
	c.Assert(<-served, qt.Equals, context.Canceled)
}
