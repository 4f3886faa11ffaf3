// Package budget holds the rules of prepaid budgets: which amounts a region, a
// router or an agent may use, and when a bill is durable. It does no I/O, starts
// no goroutines and never reads a clock: callers pass the time in and carry out
// what it returns. Package holder calls Holder, package wallet calls Wallet,
// package agent calls Ledger, and package operator changes treasuries and reads
// the other records. This package must not know how records are stored, how
// processes reach each other, or what a request asks for. A value of one of its
// types is not safe for concurrent use unless its comment says so.
//
// # Terms
//
//   - The treasury is the global balance record of a shard's budgets.
//   - An account is the record of a shard's budgets in one region. Its holder is
//     its leader for one epoch, the leader's term. A takeover makes a process the
//     holder and raises the epoch.
//   - A flush is the store transaction with which a holder writes the account,
//     the bills that become durable, and the treasury if it changes.
//   - A draw moves an amount from the treasury to a region, and a return moves it
//     back. Both take effect with a flush.
//   - Escrow is the part of a balance that a region has drawn from the treasury
//     and can spend without asking another region.
//   - An incarnation is one run of a process, identified by its boot ID.
//   - A lot is a quota lease: an amount that the holder has granted to one
//     incarnation of a router for one budget, up to the lot's limit. A recall asks
//     the router to lower the limit to what it needs.
//   - A wallet is a router's state of its lots and of the bills it has to report.
//   - A reservation is an amount of a lot that is kept for one request, under a
//     slot number. A bill is the usage record of that request; it is durable once a
//     flush of the holder has written it to the store.
//   - An attempt is one dispatch of a request to an agent.
//   - A claim is the right of one attempt to run under an idempotency key. The
//     holder of the key's account grants it.
//   - The ledger is an agent's in-memory state of running attempts, bills, fences
//     and tombstones.
//   - A tombstone makes an agent refuse one attempt that has not arrived yet.
//   - A collection is the call by which a holder gets an agent's bills and running
//     attempts of the account. It can also order a fence, and raise the epoch that
//     the agent enforces.
//   - A fence makes agents refuse lots of a router that was declared dead.
//   - A settlement finds out what is billed in lots and frees the rest: a fence
//     settles the lots of a dead router, a reconciliation those of former epochs.
//
// # Who owns an amount
//
// Every token that was paid is at any moment in exactly one place:
//
//   - unallocated in the treasury;
//   - free escrow of a region's holder, drawn and not granted;
//   - in the limit of an open lot, granted to one router incarnation. Bills of
//     the lot, durable or not, stay inside its limit;
//   - billed in a lot that is not open, or counted as lost;
//   - blocked: unreconciled escrow of a former epoch, amounts that a fence or
//     a reconciliation has freed and no flush has recorded yet, and returns of
//     flushes whose outcome is unknown.
//
// An amount leaves a place only when it is certain that nobody can use it there
// any more. The rules below say when that is.
//
// # Lots and exchanges
//
// An exchange is the RPC from a router to the holder of an account. A router
// lists all of its lots of the account in each exchange, has one exchange per
// account in flight, and ignores replies to any other. If neither an exchange nor
// an earlier one lists a granted lot, the router has not received the grant and
// never will, so the holder can close the lot. When a router reduces a limit, it
// stops using the remainder as soon as it builds the exchange.
//
// A bill is sent (LotReport.Bills) until the holder of the epoch has replied;
// afterwards only its slot is sent (LotReport.Pending) until the holder reports
// that it is durable. An estimated bill uses up its whole reservation in the
// router's lot, because the holder may already have accepted the agent's bill,
// which can have another amount.
//
// # Epochs
//
// A router that knows an epoch ignores all replies with a lower one, so the limits
// that it reports to the new holder are final. The new holder adopts the lots that
// a router lists in its first report with the new epoch; later reports add none.
//
// A router that has not reported may still use lots of former epochs, and so may
// one that a replaced holder, partitioned from the store, still serves. Agents
// stop both: an attempt carries the epoch of the holder that confirmed its lot
// last (Wallet.LotEpoch), and an agent refuses it if a collection has raised the
// epoch that the agent enforces above that. A restart loses the raised epochs, so a
// restarted agent refuses everything until it has read the epochs from the store
// (Ledger.InitEpochs).
//
// AccountRecord.Next holds, for each epoch that is not reconciled, the first lot
// position that the record does not cover. For a successor, a lot before that
// position that is not listed is closed, and late copies of its bills are dropped.
// A lot at or after the position may have been granted after the last flush.
//
// # Fences
//
// A fence names a router incarnation and a position (FenceOrder.Before). Agents
// refuse the router's lots before the position. A live router that was declared
// dead by mistake drops its lots, and gets new ones with higher numbers after the
// settlement.
//
// What a settlement frees can be granted only after a flush has recorded it.
// Otherwise, if the holder died before the flush, its successor would accept the
// settled lots again from routers that are alive.
//
// # Flushes with an unknown outcome
//
// A flush whose response is lost may still take effect until a later one does.
// What it returns to the treasury stays blocked until then. At most one of
// several such flushes takes effect, because all of them compare the same
// revision; the sequence number in the record tells which one did.
package budget
