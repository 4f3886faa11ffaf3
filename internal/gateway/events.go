package gateway

import "bytes"

// eventSplitter splits a server-sent event stream into complete events. Only
// complete events are sent to the caller, so that an error event never follows a
// truncated one. The final [DONE] event is held back until the outcome is known.
type eventSplitter struct {
	// partial is the received part of an incomplete event.
	partial []byte
	// doneEvent is the [DONE] event, nil until it has been received.
	doneEvent []byte
}

var doneMarker = []byte("[DONE]")

// split appends p to the stream and returns the complete events that can be sent.
// The result is valid until the next call and can share memory with p. Nothing is
// copied if p ends at the end of an event, as the frames of an agent do.
func (s *eventSplitter) split(p []byte) ([]byte, error) {
	if s.doneEvent != nil && len(p) > 0 {
		return nil, errDataAfterDone
	}
	data := p
	if len(s.partial) > 0 {
		s.partial = append(s.partial, p...)
		data = s.partial
	}
	n := completeEventsLen(data)
	complete, rest := data[:n], data[n:]
	if len(rest) > maxEventBytes {
		return nil, errEventTooLarge
	}
	if bytes.Contains(complete, doneMarker) {
		before, doneEvent, after := splitAtDone(complete)
		if doneEvent != nil && len(after)+len(rest) > 0 {
			return nil, errDataAfterDone
		}
		s.doneEvent = bytes.Clone(doneEvent)
		complete = before
	}
	s.savePartial(rest, complete)
	return complete, nil
}

// savePartial stores the incomplete event at the end of the input. It does not
// change the memory of complete, which the caller of split has yet to send.
func (s *eventSplitter) savePartial(rest, complete []byte) {
	switch {
	case len(rest) == 0:
		s.partial = nil
	case len(s.partial) > 0 && len(complete) == 0:
		// partial already equals rest.
	default:
		s.partial = bytes.Clone(rest)
	}
}

// completeEventsLen returns the length of the complete events at the start of data.
// An event ends with an empty line; lines end with LF or CRLF.
func completeEventsLen(data []byte) int {
	for end := len(data); end > 0; {
		i := bytes.LastIndexByte(data[:end], '\n')
		if i < 0 {
			return 0
		}
		line := bytes.TrimSuffix(data[:i], []byte("\r"))
		if len(line) == 0 || line[len(line)-1] == '\n' {
			return i + 1
		}
		end = i
	}
	return 0
}

// splitAtDone splits complete events at the event whose data is [DONE]. The marker
// can also occur in the text of another event.
func splitAtDone(events []byte) (before, doneEvent, after []byte) {
	for start := 0; start < len(events); {
		size := firstEventLen(events[start:])
		if isDoneEvent(events[start : start+size]) {
			return events[:start], events[start : start+size], events[start+size:]
		}
		start += size
	}
	return events, nil, nil
}

// firstEventLen returns the length of the first event of several complete events.
func firstEventLen(events []byte) int {
	for at := 0; at < len(events); {
		line, _, _ := bytes.Cut(events[at:], []byte("\n"))
		at += len(line) + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return at
		}
	}
	return len(events)
}

func isDoneEvent(event []byte) bool {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok && bytes.Equal(bytes.TrimSpace(value), doneMarker) {
			return true
		}
	}
	return false
}
