package gateway

import "bytes"

// eventStream splits the bytes of a server-sent event stream at the ends of
// events. Only whole events are passed on, so that an error event never follows
// half of another one, and the published end of a stream is held back until the
// outcome is known.
type eventStream struct {
	// partial is the beginning of an event that has not ended.
	partial []byte
	// end is the event with [DONE], once it has arrived.
	end []byte
}

var doneMarker = []byte("[DONE]")

// take returns the whole events that can be sent after p has arrived. The
// result is valid until the next call and can share memory with p. Nothing is
// copied if p ends at the end of an event, as frames of the agent do.
func (s *eventStream) take(p []byte) ([]byte, error) {
	if s.end != nil && len(p) > 0 {
		return nil, errAfterDone
	}
	data := p
	if len(s.partial) > 0 {
		s.partial = append(s.partial, p...)
		data = s.partial
	}
	cut := lastEventEnd(data)
	whole, rest := data[:cut], data[cut:]
	if len(rest) > maxEventBytes {
		return nil, errEventTooLong
	}
	if bytes.Contains(whole, doneMarker) {
		before, end, after := splitDone(whole)
		if end != nil && len(after)+len(rest) > 0 {
			return nil, errAfterDone
		}
		s.end = bytes.Clone(end)
		whole = before
	}
	s.keep(rest, whole)
	return whole, nil
}

// keep stores the beginning of the next event. The memory of whole must stay as
// it is until the caller has sent it.
func (s *eventStream) keep(rest, whole []byte) {
	switch {
	case len(rest) == 0:
		s.partial = nil
	case len(s.partial) > 0 && len(whole) == 0:
		// rest is all of partial.
	default:
		s.partial = bytes.Clone(rest)
	}
}

// lastEventEnd returns the length of the whole events at the start of data. An
// event ends with an empty line; lines end with LF or CRLF.
func lastEventEnd(data []byte) int {
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

// splitDone finds the event whose data is [DONE] among whole events. The marker
// can also occur within the text of another event.
func splitDone(events []byte) (before, end, after []byte) {
	for start := 0; start < len(events); {
		size := firstEventEnd(events[start:])
		if isDone(events[start : start+size]) {
			return events[:start], events[start : start+size], events[start+size:]
		}
		start += size
	}
	return events, nil, nil
}

// firstEventEnd returns the length of the first of several whole events.
func firstEventEnd(events []byte) int {
	for at := 0; at < len(events); {
		line, _, _ := bytes.Cut(events[at:], []byte("\n"))
		at += len(line) + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return at
		}
	}
	return len(events)
}

func isDone(event []byte) bool {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok && bytes.Equal(bytes.TrimSpace(value), doneMarker) {
			return true
		}
	}
	return false
}
