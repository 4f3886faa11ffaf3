// Package prefix hashes the leading blocks of a prompt, so that a request can be
// matched with the prefixes that an engine has cached.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of one block.
	BlockBytes = 256
	// MaxBlocks is the largest number of blocks that are hashed.
	MaxBlocks = 64
)

// BlockHashes returns the chained hashes of the whole blocks at the start of prompt,
// shortest prefix first. Two prompts share their first n hashes exactly if they
// share their first n blocks, but for hash collisions.
func BlockHashes(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, n)
	var chained [8 + BlockBytes]byte
	for i := range n {
		block := prompt[i*BlockBytes : (i+1)*BlockBytes]
		if i == 0 {
			hashes = append(hashes, xxhash.Sum64(block))
			continue
		}
		binary.BigEndian.PutUint64(chained[:8], hashes[i-1])
		copy(chained[8:], block)
		hashes = append(hashes, xxhash.Sum64(chained[:]))
	}
	return hashes
}
