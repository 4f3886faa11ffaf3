package wire

import (
	"encoding/binary"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// CrashID returns the id of a crash of a server beside the agent with the given
// boot, so that several reports of one crash count once. number counts the
// crashes that this boot of the agent has seen, from 1; it is 0 for the loss of
// the whole host.
func CrashID(server string, agent budget.BootID, number uint64) uuid.UUID {
	return uuid.NewSHA1(agent, binary.BigEndian.AppendUint64([]byte(server), number))
}
