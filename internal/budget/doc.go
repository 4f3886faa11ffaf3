// Package budget is the decision code for prepaid budgets: the treasury and
// account records, the holder of a budget shard, and the wallet of a router. It
// does no I/O, starts no goroutines and never reads a clock; callers pass the
// time in and carry out what it returns. A value of one of its types is not safe
// for concurrent use unless its comment says so.
//
// # Who owns an amount
//
// Every token that was paid is at any moment in exactly one place:
//
//   - unallocated in the treasury;
//   - free in a region's holder, which is drawn and not granted;
//   - in the limit of an open lot, granted to one router incarnation. Bills of
//     the lot, durable or not, stay inside its limit;
//   - billed in a closed lot, or counted as lost;
//   - set aside: unreconciled escrow of a former epoch, amounts that a fence or
//     a reconciliation has freed and no flush has recorded yet, and returns of
//     flushes whose outcome is open.
//
// An amount leaves a place only when it is certain that nobody can use it there
// any more. The rules below say when that is.
//
// # Lots and exchanges
//
// A router lists all of its lots of an account in each exchange, has one exchange
// per account in flight, and ignores answers to any other. A lot that it has
// never listed is therefore unknown to it and can be closed. A lower limit holds
// for the router from the moment at which it builds the exchange.
//
// A bill is sent once per epoch (LotReport.Bills); afterwards only its slot is
// sent (LotReport.Pending) until the holder says that it is durable. An estimated
// bill uses up its whole reservation in its lot, because the holder may have
// collected another amount from the agent.
//
// # Epochs
//
// A router that has heard of an epoch ignores all answers with a lower one, so
// the limits that it reports to the new holder are final. The new holder adopts
// the lots of a router's first report with its epoch, and no others.
//
// A router that has not reported may still use lots of former epochs, and so may
// one that a replaced holder, cut off from the store, still serves. Agents stop
// both: an attempt carries the epoch of the holder that confirmed its lot last
// (Wallet.LotEpoch), and an agent that was collected with a higher epoch refuses
// it. An agent that restarts has forgotten that epoch, so it refuses everything
// until it has read the epochs from the store (Ledger.InitEpochs).
//
// AccountRecord.Next tells a successor which lots the record covers: one below
// the mark that is not listed is closed, and late copies of its bills are
// dropped. One from the mark on may have been granted after the last flush.
//
// # Fences
//
// A fence names a router incarnation and a position (FenceOrder.Before). Agents
// refuse the router's lots before the mark. A router that was given up by mistake
// drops its lots and gets new ones, with higher numbers, after the settlement.
//
// What a settlement frees can be granted only after a flush has recorded it. A
// holder that dies before would leave a successor that accepts the same lots
// again from routers that are alive.
//
// # Flushes with an unknown outcome
//
// A flush whose answer is lost may still take effect until a later one does. What
// it returns to the treasury stays set aside until then; of several such flushes
// at most one takes effect, because all of them compare the same revision. The
// sequence number in the record tells which one did.
package budget
