package wire

import (
	"encoding/binary"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// CrashID returns the ID under which routers report the loss of a server's agent with
// the given boot ID. The ID is deterministic, so that the reports of several routers
// count once. number is 0 for such a loss. Agents report crashes of their server under
// other IDs.
func CrashID(server string, agent budget.BootID, number uint64) uuid.UUID {
	return uuid.NewSHA1(agent, binary.BigEndian.AppendUint64([]byte(server), number))
}
