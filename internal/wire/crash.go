package wire

import (
	"encoding/binary"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// CrashID returns the ID of a crash of the backend server of the agent with the
// given boot ID. The ID is deterministic, so that several reports of one crash
// count once. number is the ordinal of the crash within this boot of the agent,
// from 1; it is 0 for the loss of the agent itself, which routers report.
func CrashID(server string, agent budget.BootID, number uint64) uuid.UUID {
	return uuid.NewSHA1(agent, binary.BigEndian.AppendUint64([]byte(server), number))
}
