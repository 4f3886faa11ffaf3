package gate

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/fleet"
	"github.com/monsoonworks/monsoonworks/internal/upstream"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Figures of streams.
const (
	// streamBufferBytes is the first size of a stream's buffer; it grows to hold an
	// event.
	streamBufferBytes = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// stallFactor is the number of longest pauses after which a stream that may go
	// on at another server is taken there.
	stallFactor = 3
	// writeSlack is added to the final time for writes to the caller.
	writeSlack = time.Second
)

// streamState is what the caller has of a stream.
type streamState struct {
	begun bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// delivered is the number of events.
	delivered int
}

var errGap = errors.New("the second server goes on at another event")

var errEventTooLarge = errors.New("an event is too large")

// relayStream forwards events as they arrive. Only whole events are forwarded, so
// that a stream can go on at another server after one that broke.
func (x *exchange) relayStream(conn *upstream.Conn, response *http.Response, answer ResponseInfo) end {
	control := http.NewResponseController(x.w)
	buffer := make([]byte, 0, streamBufferBytes)
	joining := x.stream.begun
	if joining {
		x.gate.stats.resumed.Inc(1)
	}
	for {
		if err := conn.SetResponseDeadline(x.stallTime()); err != nil {
			conn.Discard()
			return x.streamLost(err)
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if whole := wholeEvents(buffer); whole > 0 {
			events := buffer[:whole]
			if joining {
				var joined bool
				if events, joined = join(events, x.stream.lastEvent); !joined {
					conn.Discard()
					return x.streamLost(errGap)
				}
				joining = len(events) == 0
			}
			if werr := x.deliver(control, response, events); werr != nil {
				conn.Discard()
				return end{done: true, broken: true, result: fleet.Canceled, verdict: verdict.Ran, code: verdict.CodeCanceled, err: werr}
			}
			buffer = append(buffer[:0], buffer[whole:]...)
		}
		switch {
		case err == io.EOF && len(buffer) == 0:
			conn.Release(response, true, answer.IdleTimeout)
			return x.streamEnded(response)
		case err == io.EOF:
			conn.Discard()
			return x.streamLost(io.ErrUnexpectedEOF)
		case err != nil:
			conn.Discard()
			return x.streamLost(err)
		}
		if len(buffer) == cap(buffer) {
			if cap(buffer) >= maxEventBytes {
				conn.Discard()
				return x.streamLost(errEventTooLarge)
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
	}
}

// stallTime returns until when the next event is awaited.
func (x *exchange) stallTime() time.Time {
	if !x.route.Resumable || x.sent >= x.route.MaxAttempts || x.route.MaxEventGap <= 0 {
		return x.final
	}
	pause := x.route.MaxEventGap * stallFactor
	if !x.stream.begun {
		pause = max(pause, x.route.LatencyObjective)
	}
	if at := time.Now().Add(pause); at.Before(x.final) {
		return at
	}
	return x.final
}

// join removes the events that the caller has from those of a second server. It
// fails if the first one left is not the next one. Ids that are no numbers say
// nothing about the order.
func join(events []byte, last string) (rest []byte, joined bool) {
	had, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return events, true
	}
	for len(events) > 0 {
		n := firstEvent(events)
		_, id := scanEvents(events[:n])
		number, err := strconv.ParseInt(id, 10, 64)
		if err != nil || number == had+1 {
			return events, true
		}
		if number > had {
			return nil, false
		}
		events = events[n:]
	}
	return nil, true
}

// firstEvent returns the length of the first of some whole events.
func firstEvent(events []byte) int {
	for n := 1; n < len(events); n++ {
		if wholeEvents(events[:n]) == n {
			return n
		}
	}
	return len(events)
}

// deliver forwards whole events to the caller.
func (x *exchange) deliver(control *http.ResponseController, response *http.Response, events []byte) error {
	if !x.stream.begun {
		x.stream.begun = true
		x.begin(control, response)
	}
	if len(events) == 0 {
		return nil
	}
	count, last := scanEvents(events)
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	x.stream.delivered += count
	if last != "" {
		x.stream.lastEvent = last
	}
	x.gate.stats.events.Inc(int64(count))
	return nil
}

// begin sends the header of the first server's answer.
func (x *exchange) begin(control *http.ResponseController, response *http.Response) {
	// A writer without a connection (tests) has no deadlines.
	_ = control.SetWriteDeadline(x.final.Add(writeSlack))
	x.gate.opts.Protocol.CopyResponseHeader(x.w.Header(), response.Header)
	x.status = response.StatusCode
	x.gate.stats.firstByte.UpdateSince(x.started)
	x.w.WriteHeader(response.StatusCode)
}

// streamEnded is the end of a stream that its server completed.
func (x *exchange) streamEnded(response *http.Response) end {
	if !x.stream.begun {
		x.begin(http.NewResponseController(x.w), response)
	}
	return end{done: true, result: fleet.Answered, verdict: verdict.Ran}
}

// streamLost is the end of an attempt whose stream broke.
func (x *exchange) streamLost(err error) end {
	e := x.lost(err)
	e.verdict = verdict.Ran
	return e
}

// wholeEvents returns the length of the whole events at the start of a stream's
// bytes. An empty line ends an event.
func wholeEvents(b []byte) int {
	lf := bytes.LastIndex(b, []byte("\n\n"))
	crlf := bytes.LastIndex(b, []byte("\r\n\r\n"))
	end := 0
	if lf >= 0 {
		end = lf + 2
	}
	if crlf >= 0 {
		end = max(end, crlf+4)
	}
	return end
}

// scanEvents counts the events in the bytes of whole events and returns the last
// id among them.
func scanEvents(b []byte) (count int, last string) {
	data := false
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0:
			if data {
				count++
			}
			data = false
		case bytes.HasPrefix(line, []byte("id:")):
			last = string(bytes.TrimSpace(line[len("id:"):]))
			data = true
		case bytes.HasPrefix(line, []byte("data")):
			data = true
		}
	}
	return count, last
}
