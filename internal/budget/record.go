package budget

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// recordVersion is the first byte of every record that this package encodes. It is
// increased with a change that makes older builds misread records; a new optional
// field needs no increase.
const recordVersion = 1

// recordHeaderBytes is the size of the version byte and of the body's CRC-32C.
const recordHeaderBytes = 5

// Errors of decoding a record. The caller adds the record's key.
var (
	// ErrCorrupt means that the checksum is wrong, that the bytes cannot be
	// decoded, or that the decoded amounts are inconsistent. The record must not
	// be overwritten.
	ErrCorrupt = errors.New("record is damaged")
	// ErrRecordVersion means that a build with another record version wrote the
	// record.
	ErrRecordVersion = errors.New("record has an unknown version")
)

// InvariantError reports inconsistent amounts. It means a bug or a corrupt
// record, never a normal condition.
type InvariantError struct {
	// Component is what was checked, for example "treasury" or "lot".
	Component string
	Budget    ID
	Detail    string
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant violated in %s, budget %q: %s", e.Component, e.Budget, e.Detail)
}

func invariantErrorf(component string, id ID, format string, args ...any) error {
	return &InvariantError{Component: component, Budget: id, Detail: fmt.Sprintf(format, args...)}
}

var (
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
	recordEncMode   = mustEncMode()
	recordDecMode   = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeRecord returns the version byte, the checksum and the CBOR form of body.
func encodeRecord(body any) ([]byte, error) {
	encoded, err := recordEncMode.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	out := make([]byte, recordHeaderBytes, recordHeaderBytes+len(encoded))
	out[0] = recordVersion
	binary.BigEndian.PutUint32(out[1:], crc32.Checksum(encoded, castagnoliTable))
	return append(out, encoded...), nil
}

// decodeRecord is the inverse of encodeRecord. It fails with ErrCorrupt or
// ErrRecordVersion.
func decodeRecord(data []byte, into any) error {
	if len(data) < recordHeaderBytes {
		return fmt.Errorf("%w: %d bytes are too short", ErrCorrupt, len(data))
	}
	if data[0] != recordVersion {
		return fmt.Errorf("%w: %d", ErrRecordVersion, data[0])
	}
	body := data[recordHeaderBytes:]
	if sum := crc32.Checksum(body, castagnoliTable); sum != binary.BigEndian.Uint32(data[1:]) {
		return fmt.Errorf("%w: checksum is %08x", ErrCorrupt, sum)
	}
	if err := recordDecMode.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}
