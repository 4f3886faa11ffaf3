// Package prefix hashes the leading blocks of a prompt, so that requests can be matched
// with the prefixes that an engine has cached.
//
// The gateway computes the hashes. Package route chooses servers by them, and agents
// estimate from them and from the block size how many tokens of a prompt are cached.
// The package must not know requests or how backend servers are chosen.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the block size, in bytes.
	BlockBytes = 256
	// MaxBlocks is the largest number of blocks of a prompt that are hashed.
	MaxBlocks = 64
)

// BlockHashes returns one hash for each prefix of prompt that consists of complete
// blocks, shortest first, for up to MaxBlocks blocks. Each hash is chained with the one
// before. Apart from collisions, two prompts have the same first n hashes if and only if
// they have the same first n blocks.
func BlockHashes(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, n)
	var buf [8 + BlockBytes]byte
	for i := range n {
		block := prompt[i*BlockBytes : (i+1)*BlockBytes]
		if i == 0 {
			hashes = append(hashes, xxhash.Sum64(block))
			continue
		}
		binary.BigEndian.PutUint64(buf[:8], hashes[i-1])
		copy(buf[8:], block)
		hashes = append(hashes, xxhash.Sum64(buf[:]))
	}
	return hashes
}
