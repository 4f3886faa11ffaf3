package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// FrameType is the type of a frame.
type FrameType uint8

// Frames from a router to an agent.
const (
	FrameExec   FrameType = 1 // ExecRequest
	FrameBody   FrameType = 2 // part of the request body
	FrameAttach FrameType = 3 // AttachRequest
	FrameCancel FrameType = 4 // no payload
)

// Frames from an agent to a router.
const (
	FrameRefused  FrameType = 16 // Refused
	FrameAccepted FrameType = 17 // Accepted
	FrameHead     FrameType = 18 // Head
	FrameData     FrameType = 19 // part of the response body
	FrameDone     FrameType = 20 // Done
)

// FrameHello carries a Hello or a proof during the handshake.
const FrameHello FrameType = 32

// frameHeaderBytes is the encoded length of a frame header: 8-bit type, 24-bit
// payload length, 32-bit token count and 32-bit tag.
const frameHeaderBytes = 12

// Errors of the framing layer. When a received frame causes one, the session is
// closed.
var (
	ErrFrameTooLarge = errors.New("frame over the size limit")
	ErrMalformed     = errors.New("malformed frame")
)

// Tag is the part of an attempt ID that each frame carries, so that frames of
// other attempts are detected and dropped.
type Tag uint32

// TagOf returns the tag of an attempt, taken from the random part of its ID.
func TagOf(attempt uuid.UUID) Tag {
	return Tag(binary.BigEndian.Uint32(attempt[12:]))
}

// Frame is one unit on an exec stream.
type Frame struct {
	Type FrameType
	Tag  Tag
	// Tokens is the number of generated tokens in a FrameData frame.
	Tokens uint32
	// Payload is valid until the next read from the stream.
	Payload []byte
}

// Decode decodes the payload into msg. It fails with ErrMalformed.
func (f Frame) Decode(msg any) error {
	if err := decMode.Unmarshal(f.Payload, msg); err != nil {
		return fmt.Errorf("%w: type %d: %v", ErrMalformed, f.Type, err)
	}
	return nil
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Limits on decoded messages, against deeply nested or huge input of a peer.
const (
	maxNestedLevels  = 16
	maxArrayElements = 131072
	maxMapPairs      = 1024
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// frameWriter writes frames. It is not safe for concurrent use, because it reuses
// one buffer.
type frameWriter struct {
	w   io.Writer
	buf []byte
}

func (fw *frameWriter) write(t FrameType, tag Tag, tokens uint32, payload []byte) error {
	if len(payload) > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	fw.buf = appendFrameHeader(fw.buf[:0], t, tag, tokens, len(payload))
	fw.buf = append(fw.buf, payload...)
	_, err := fw.w.Write(fw.buf)
	return err
}

func (fw *frameWriter) writeMessage(t FrameType, tag Tag, msg any) error {
	payload, err := encMode.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode frame type %d: %w", t, err)
	}
	return fw.write(t, tag, 0, payload)
}

func appendFrameHeader(buf []byte, t FrameType, tag Tag, tokens uint32, length int) []byte {
	buf = append(buf, byte(t), byte(length>>16), byte(length>>8), byte(length))
	buf = binary.BigEndian.AppendUint32(buf, tokens)
	return binary.BigEndian.AppendUint32(buf, uint32(tag))
}

// frameReader reads frames. It is not safe for concurrent use, because it reuses
// one buffer.
type frameReader struct {
	r      *bufio.Reader
	header [frameHeaderBytes]byte // a field to avoid an allocation per read
	buf    []byte
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, 4<<10)}
}

func (fr *frameReader) read() (Frame, error) {
	header := &fr.header
	if _, err := io.ReadFull(fr.r, header[:]); err != nil {
		return Frame{}, err
	}
	length := int(header[1])<<16 | int(header[2])<<8 | int(header[3])
	if length > MaxFrameBytes {
		return Frame{}, ErrFrameTooLarge
	}
	if cap(fr.buf) < length {
		fr.buf = make([]byte, length)
	}
	fr.buf = fr.buf[:length]
	if _, err := io.ReadFull(fr.r, fr.buf); err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	return Frame{
		Type:    FrameType(header[0]),
		Tokens:  binary.BigEndian.Uint32(header[4:]),
		Tag:     Tag(binary.BigEndian.Uint32(header[8:])),
		Payload: fr.buf,
	}, nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, so that a truncated frame
// or response is not taken for a regular end of the stream.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
