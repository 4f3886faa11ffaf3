package gate

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// breakAfter sends the first events and then breaks off the stream, in the middle of an event.
func breakAfter(last int) script {
	return func(_ int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		writeEvents(conn, 1, last)
		writeChunk(conn, fmt.Sprintf("id: %d\nda", last+1))
		return false
	}
}

// framing is how the end of a response's body is marked.
type framing string

const (
	withLength    framing = "length"
	inChunks      framing = "chunks"
	untilClose    framing = "close"
	untilReset    framing = "reset" // like untilClose, but the connection is reset
	lengthTooLong framing = "length too long"
	noLastChunk   framing = "no last chunk"
)

// broken reports whether the response is not complete.
func (f framing) broken() bool { return f == untilReset || f == lengthTooLong || f == noLastChunk }

// respondWith returns a script that sends a response with a body that ends as f says. ID in the
// header is replaced by the request's ID.
func respondWith(status int, header, body string, f framing) script {
	return func(_ int, r *http.Request, conn net.Conn) bool {
		head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, strings.ReplaceAll(header, "ID", r.Header.Get("Id")))
		switch f {
		case withLength:
			return writeRaw(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
		case lengthTooLong:
			writeRaw(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+1, body))
		case inChunks, noLastChunk:
			writeRaw(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
			if body != "" {
				writeChunk(conn, body)
			}
			return f == inChunks && writeRaw(conn, "0\r\n\r\n")
		default:
			writeRaw(conn, head+"Connection: close\r\n\r\n"+body)
			if f == untilReset {
				time.Sleep(20 * time.Millisecond) // a reset can overtake data that was not read
				return resetConn(0, r, conn)
			}
		}
		return false
	}
}

const (
	stampedHead = "Id: ID\r\nStamp: s\r\n"
	streamHead  = stampedHead + "Content-Type: text/event-stream\r\n"
	errorText   = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed\r\n\r\n"
)

var allFramings = []framing{withLength, inChunks, untilClose, untilReset, lengthTooLong, noLastChunk}

// brokenFor fails unless a stream that broke off after three events, with the given response as its
// continuation, ends as broken, after one more event at most.
func brokenFor(t *testing.T, name string, status int, header, body string) {
	for _, end := range allFramings {
		t.Run(name+", "+string(end), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, breakAfter(3), respondWith(status, header, body, end))
			got := f.request("POST", "/resume/")
			f.c.Check(got.err, qt.IsNotNil)
			f.c.Check(got.status, qt.Equals, 200)
			f.c.Check(got.header.Get("Content-Type"), qt.Equals, "text/event-stream")
			if got.body != formatEvents(1, 4) {
				f.c.Check(got.body, qt.Equals, formatEvents(1, 3))
			}
		})
	}
}

// A stream that broke off must not go on with an error, nor end as complete: its caller gets the
// events so far, and its connection is aborted.
func TestBrokenStreamNotContinuedByError(t *testing.T) {
	for name, response := range map[string]struct {
		status       int
		header, body string
	}{
		"400":            {400, stampedHead, "bad\n\nrequest\n\n"},
		"404":            {404, streamHead, formatEvents(4, 5)},
		"500":            {500, stampedHead, "failed\n\n"},
		"502 no stamp":   {502, "Content-Type: text/html\r\n", "<html>\n\n</html>\n\n"},
		"503 not run":    {503, "Id: ID\r\nNot-Run: 1\r\n", "busy\n\n"},
		"400 not run":    {400, "Id: ID\r\nNot-Run: 1\r\n", "no ID\n\n"},
		"503":            {503, stampedHead, "busy\n\n"},
		"302":            {302, stampedHead + "Location: /\r\n", "moved\n\n"},
		"206":            {206, streamHead, formatEvents(4, 5)},
		"200 no stamp":   {200, "Id: ID\r\nContent-Type: text/event-stream\r\n", formatEvents(4, 5)},
		"text":           {200, stampedHead + "Content-Type: text/plain\r\n", "failed\n\nto\n\n"},
		"text of events": {200, stampedHead + "Content-Type: text/plain\r\n", formatEvents(4, 5)},
		"JSON":           {200, stampedHead + "Content-Type: application/json\r\n", "{\"error\":\n\n\"failed\"}\n\n"},
		"empty text":     {200, stampedHead + "Content-Type: text/plain\r\n", ""},
		"odd type":       {200, stampedHead + "Content-Type: ;;\r\n", formatEvents(4, 5)},
	} {
		brokenFor(t, name, response.status, response.header, response.body)
	}
}

// A stream that broke off must not go on with events that are not those after the last one, nor with
// an error among them.
func TestBrokenStreamNotContinuedByOtherEvents(t *testing.T) {
	for name, body := range map[string]string{
		"head":               errorText,
		"head after event":   formatEvent(4) + errorText,
		"text":               "internal server error\n\n",
		"text after event":   formatEvent(4) + "internal server error\n\n",
		"no IDs":             "data: e4\n\ndata: e5\n\n",
		"error event":        "event: error\ndata: failed\n\n",
		"no ID after event":  formatEvent(4) + "data: failed\n\n",
		"ID is no number":    "id: x\ndata: e4\n\n",
		"empty ID":           "id:\ndata: e4\n\n",
		"gap":                formatEvents(5, 6),
		"gap after event":    formatEvent(4) + formatEvent(6),
		"back":               formatEvent(4) + formatEvent(3),
		"twice":              formatEvent(4) + formatEvent(4),
		"mixed line ends":    formatEvent(4) + "failed\n\r\n" + formatEvent(5),
		"ends inside event":  formatEvent(4) + "id: 5\nda",
		"ends inside line":   "id: 4\ndata: e4",
		"ends inside text":   "internal server error",
		"empty line missing": "id: 4\ndata: e4\n",
	} {
		brokenFor(t, name, 200, streamHead, body)
	}
}

// A continuation must be delivered once and in order however its end is marked, and without a
// mark of its end the stream must not end as complete.
func TestBrokenStreamContinued(t *testing.T) {
	const comment = ": wait\n\n"
	for name, body := range map[string]string{
		"next":        formatEvents(4, 6),
		"starts over": formatEvents(1, 6),
		"overlap":     formatEvents(3, 6),
		"repeated":    comment + formatEvents(3, 6),
		"comments":    comment + formatEvent(4) + comment + formatEvents(5, 6) + comment,
		"first line":  "x-version: 3\n" + formatEvents(4, 6),
		"CRLF":        strings.ReplaceAll(formatEvents(4, 6), "\n", "\r\n"),
		"retry":       "retry: 100\n\n" + formatEvents(4, 6),
	} {
		for _, end := range allFramings {
			t.Run(name+", "+string(end), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, breakAfter(3), respondWith(200, streamHead, body, end))
				got := f.request("POST", "/resume/")
				events := strings.NewReplacer(comment, "", "x-version: 3\n", "", "\r", "", "retry: 100\n\n", "").Replace(got.body)
				if end.broken() {
					f.c.Check(got.err, qt.IsNotNil)
					f.c.Check(strings.HasPrefix(formatEvents(1, 6), events), qt.IsTrue, qt.Commentf("%q", got.body))
					return
				}
				f.c.Check(got.err, qt.IsNil)
				f.c.Check(events, qt.Equals, formatEvents(1, 6))
			})
		}
	}
}

// A continuation without events says that the first server had sent them all, but only if its end
// is marked: a connection that just ends may have broken off.
func TestEmptyContinuation(t *testing.T) {
	for _, body := range []string{"", ": wait\n\n", formatEvents(1, 3)} {
		for _, end := range allFramings {
			f := newFixture(t, breakAfter(3), respondWith(200, streamHead, body, end))
			got := f.request("POST", "/resume/")
			complete := end == withLength || end == inChunks
			f.c.Check(got.err == nil, qt.Equals, complete, qt.Commentf("%s %q: %v", end, body, got.err))
			f.c.Check(strings.ReplaceAll(got.body, ": wait\n\n", ""), qt.Equals, formatEvents(1, 3))
		}
	}
}

// A stream whose connection ends before the first event must not be taken for a complete one.
func TestStreamWithoutEventsOrEnd(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		for _, end := range allFramings {
			f := newFixture(t, respondWith(200, streamHead, "", end))
			got := f.request("POST", path)
			complete := end == withLength || end == inChunks
			f.c.Check(got.status == 200 && got.err == nil, qt.Equals, complete, qt.Commentf("%s, %s: %d %v", path, end, got.status, got.err))
		}
	}
}

// A stream of events that cannot be told apart must not be resumed: its events would come twice.
func TestStreamWithoutIDsNotResumed(t *testing.T) {
	for name, event := range map[string]string{"no IDs": "data: x\n\n", "words": "id: a\ndata: x\n\n", "last without ID": formatEvent(1) + "data: x\n\n"} {
		for _, second := range []string{event + event, formatEvents(1, 3), formatEvents(2, 3)} {
			f := newFixture(t, func(_ int, r *http.Request, conn net.Conn) bool {
				writeEventStreamHeader(conn, r)
				writeChunk(conn, event)
				return false
			}, respondWith(200, streamHead, second, inChunks))
			got := f.request("POST", "/resume/")
			f.c.Check(got.err, qt.IsNotNil, qt.Commentf("%s", name))
			f.c.Check(got.body, qt.Equals, event, qt.Commentf("%s", name))
			f.c.Check(len(f.servers[1].received()), qt.Equals, 0, qt.Commentf("%s", name))
		}
	}
}

// A caller that resumes a stream itself must get the events after the one that it names, also if
// the stream breaks off before its first event.
func TestCallersResumptionContinued(t *testing.T) {
	breakEarly := func(_ int, r *http.Request, conn net.Conn) bool {
		writeEventStreamHeader(conn, r)
		writeChunk(conn, ": wait\n\n")
		return false
	}
	for name, body := range map[string]string{"next": formatEvents(13, 14), "overlap": formatEvents(12, 14), "gap": formatEvents(14, 15)} {
		f := newFixture(t, breakEarly, respondWith(200, streamHead, body, inChunks))
		got := f.request("POST", "/resume/", "Last-Event", "12")
		f.c.Check(got.err == nil, qt.Equals, name != "gap", qt.Commentf("%s", name))
		if name != "gap" {
			f.c.Check(got.body, qt.Equals, ": wait\n\n"+formatEvents(13, 14), qt.Commentf("%s", name))
		}
		f.c.Check(f.servers[1].received()[0].Header.Get("Last-Event"), qt.Equals, "12")
	}
}

// An event of a continuation that arrives in small parts must not take time that grows with the
// square of its size.
func TestLargeEventOfContinuation(t *testing.T) {
	large := "id: 4\ndata: " + strings.Repeat("x", 200<<10) + "\n\n"
	f := newFixture(t, breakAfter(3), respondWith(200, streamHead, large, inChunks))
	got := f.request("POST", "/resume/")
	f.c.Check(got.err, qt.IsNil)
	f.c.Check(got.body == formatEvents(1, 3)+large, qt.IsTrue)
	f.c.Check(got.elapsed < time.Second, qt.IsTrue, qt.Commentf("%v", got.elapsed))
}
