package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEventBytes bounds one server-sent event of an engine. It leaves room in a
// wire frame for the event's framing.
const MaxEventBytes = 128 << 10

// ErrMalformedEvent means that an engine sent an event that is malformed or too
// large.
var ErrMalformedEvent = errors.New("malformed engine event")

// rawEvent is one server-sent event. Its data is valid until the next read.
type rawEvent struct {
	// id is 0 if the event has none.
	id   int64
	data []byte
}

// eventReader reads server-sent events. It reuses its buffers.
type eventReader struct {
	r    *bufio.Reader
	line []byte
	data []byte
}

const readBufferBytes = 8 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// next returns the next event that has data. It returns io.EOF at the end of
// the input, io.ErrUnexpectedEOF if the input ends within a line; an incomplete
// event at the end is dropped.
func (er *eventReader) next() (rawEvent, error) {
	var event rawEvent
	er.data = er.data[:0]
	hasData := false
	for {
		line, err := er.readLine()
		if err != nil {
			return rawEvent{}, err
		}
		if len(line) == 0 {
			if !hasData {
				event.id = 0
				continue
			}
			event.data = er.data
			return event, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			if hasData {
				er.data = append(er.data, '\n')
			}
			hasData = true
			er.data = append(er.data, value...)
			if len(er.data) > MaxEventBytes {
				return rawEvent{}, fmt.Errorf("%w: over %d bytes", ErrMalformedEvent, MaxEventBytes)
			}
		case "id":
			id, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || id < 0 {
				return rawEvent{}, fmt.Errorf("%w: id %.20q", ErrMalformedEvent, value)
			}
			event.id = id
		}
	}
}

// readLine returns a line without its line ending, LF or CRLF. If the input
// ends within a line, it returns io.ErrUnexpectedEOF.
func (er *eventReader) readLine() ([]byte, error) {
	er.line = er.line[:0]
	for {
		part, err := er.r.ReadSlice('\n')
		if err == nil && len(er.line) == 0 {
			return trimLineEnd(part), nil
		}
		er.line = append(er.line, part...)
		switch {
		case err == nil:
			return trimLineEnd(er.line), nil
		case errors.Is(err, bufio.ErrBufferFull):
			if len(er.line) > MaxEventBytes {
				return nil, fmt.Errorf("%w: line over %d bytes", ErrMalformedEvent, MaxEventBytes)
			}
		case errors.Is(err, io.EOF) && len(er.line) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
