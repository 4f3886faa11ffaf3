package budget

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

func sampleTreasury(c *qt.C) *Treasury {
	t := NewTreasury(3)
	c.Assert(t.CreateBudget(budgetA), qt.IsNil)
	added, err := t.TopUp(budgetA, "invoice-1", 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(added, qt.IsTrue)
	c.Assert(t.SetKeyHashes(budgetA, [][]byte{make([]byte, keyHashBytes)}), qt.IsNil)
	c.Assert(t.Draw(budgetA, "east", 400), qt.IsNil)
	return t
}

func sampleAccount() *AccountRecord {
	inc := Incarnation{"router", uuid.UUID{1}}
	a := TakeOver(Account{3, "east"}, nil, inc)
	a.Budgets[budgetA] = &AccountBudget{Drawn: 400, Spent: 30, Lost: 5}
	a.Lots = []AccountLot{{Position: LotPosition{1, 1}, Router: inc, Budget: budgetA, Limit: 50, Settled: IntervalSet{1, 4}, Billed: 30}}
	return a
}

// TestCorruptRecords guards against corrupt records that are decoded as valid: any
// changed byte and any truncation must be an error.
func TestCorruptRecords(t *testing.T) {
	c := qt.New(t)
	treasury, err := sampleTreasury(c).Encode()
	c.Assert(err, qt.IsNil)
	account, err := sampleAccount().Encode()
	c.Assert(err, qt.IsNil)
	holder, err := HolderRecord{Epoch: 2, Name: "r", Address: "127.0.0.1:1"}.Encode()
	c.Assert(err, qt.IsNil)
	block, err := (&BillBlock{Epoch: 1, Seq: 2, Bills: []Bill{{Slot: 1, Amount: 5}}}).Encode()
	c.Assert(err, qt.IsNil)
	records := []struct {
		data   []byte
		decode func([]byte) error
	}{
		{treasury, func(b []byte) error { _, err := DecodeTreasury(b); return err }},
		{account, func(b []byte) error { _, err := DecodeAccount(b); return err }},
		{holder, func(b []byte) error { _, err := DecodeHolder(b); return err }},
		{block, func(b []byte) error { _, err := DecodeBillBlock(b); return err }},
	}
	for _, r := range records {
		c.Assert(r.decode(r.data), qt.IsNil)
		for i := range r.data {
			bad := append([]byte(nil), r.data...)
			bad[i] ^= 0x40
			err := r.decode(bad)
			c.Assert(errors.Is(err, ErrCorrupt) || errors.Is(err, ErrRecordVersion), qt.IsTrue, qt.Commentf("byte %d: %v", i, err))
			c.Assert(r.decode(r.data[:i]), qt.ErrorIs, ErrCorrupt)
		}
	}
}

// TestInconsistentRecords guards against records with a correct checksum and
// inconsistent amounts that are decoded as valid.
func TestInconsistentRecords(t *testing.T) {
	c := qt.New(t)
	treasury := sampleTreasury(c)
	treasury.Budgets[budgetA].Drawn["west"] = 601
	data, err := treasury.Encode()
	c.Assert(err, qt.IsNil)
	_, err = DecodeTreasury(data)
	c.Assert(err, qt.ErrorIs, ErrCorrupt)
	var invariant *InvariantError
	c.Assert(errors.As(err, &invariant), qt.IsTrue)
	for _, change := range []func(a *AccountRecord){
		func(a *AccountRecord) { a.Budgets[budgetA].Lost = 371 },
		func(a *AccountRecord) { a.Lots[0].Billed = 51 },
		func(a *AccountRecord) { a.Lots[0].Limit, a.Lots[0].Billed = 0, 31 },
		func(a *AccountRecord) { a.Lots[0].Settled = IntervalSet{1, 4, 5, 6} },
		func(a *AccountRecord) { a.Lots[0].Position.Epoch = 2 },
		func(a *AccountRecord) { a.Lots[0].Budget = budgetB },
	} {
		a := sampleAccount()
		change(a)
		data, err := a.Encode()
		c.Assert(err, qt.IsNil)
		_, err = DecodeAccount(data)
		c.Assert(err, qt.ErrorIs, ErrCorrupt)
	}
}

// fuzzRecord checks that decoding never panics, and that a decoded record can be
// encoded and decoded again.
func fuzzRecord[T interface{ Encode() ([]byte, error) }](f *testing.F, decode func([]byte) (T, error), seeds ...T) {
	for _, seed := range seeds {
		data, err := seed.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
		f.Add(data[recordHeaderBytes:])
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		// body has a correct checksum, so that the CBOR decoder is reached.
		body, _ := encodeRecord(rawBody(data))
		for _, in := range [][]byte{data, body} {
			v, err := decode(in)
			if err != nil {
				continue
			}
			again, err := v.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := decode(again); err != nil {
				t.Fatalf("decoded record cannot be decoded again: %v", err)
			}
		}
	})
}

// rawBody is a record body that is already encoded.
type rawBody []byte

// MarshalCBOR implements cbor.Marshaler.
func (b rawBody) MarshalCBOR() ([]byte, error) { return b, nil }

func FuzzTreasury(f *testing.F) {
	fuzzRecord(f, DecodeTreasury, sampleTreasury(qt.New(f)), NewTreasury(1))
}

func FuzzAccount(f *testing.F) { fuzzRecord(f, DecodeAccount, sampleAccount()) }

func FuzzHolderRecord(f *testing.F) {
	fuzzRecord(f, DecodeHolder, HolderRecord{Epoch: 1, Name: "r", Address: "127.0.0.1:80"})
}

func FuzzBillBlock(f *testing.F) {
	fuzzRecord(f, DecodeBillBlock, &BillBlock{Epoch: 1, Bills: []Bill{{Slot: 1, Amount: 2, Target: "m"}}, Losses: []Loss{{Amount: 1}}})
}

// TestTreasury guards against top-ups that count twice, and against operations that
// make the unallocated balance negative or change it when they fail.
func TestTreasury(t *testing.T) {
	c := qt.New(t)
	treasury := sampleTreasury(c)
	b := treasury.Budgets[budgetA]
	added, err := treasury.TopUp(budgetA, "invoice-1", 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(added, qt.IsFalse)
	_, err = treasury.TopUp(budgetA, "invoice-1", 999)
	c.Assert(err, qt.ErrorIs, ErrTopUpMismatch)
	_, err = treasury.TopUp(budgetA, "invoice-2", 0)
	c.Assert(err, qt.ErrorIs, ErrBadAmount)
	_, err = treasury.TopUp(budgetA, "invoice-2", 1<<63-1)
	c.Assert(err, qt.ErrorIs, ErrBadAmount)
	_, err = treasury.TopUp(budgetB, "invoice-2", 1)
	c.Assert(err, qt.ErrorIs, ErrNoBudget)
	c.Assert(treasury.CreateBudget(budgetA), qt.ErrorIs, ErrBudgetExists)
	c.Assert(treasury.CreateBudget("no-slash"), qt.ErrorIs, ErrBadName)
	c.Assert(treasury.Draw(budgetA, "west", 601), qt.ErrorIs, ErrInsufficient)
	c.Assert(treasury.Return(budgetA, "east", 401), qt.ErrorIs, ErrBadAmount)
	c.Assert(treasury.CloseRegion(budgetA, "east", 300, 99), qt.ErrorIs, ErrDrawnMismatch)
	c.Assert(treasury.SetKeyHashes(budgetA, [][]byte{{1}}), qt.ErrorIs, ErrBadName)
	c.Assert(b.Unallocated(), qt.Equals, Tokens(600))
	c.Assert(treasury.Return(budgetA, "east", 100), qt.IsNil)
	c.Assert(treasury.CloseRegion(budgetA, "east", 290, 10), qt.IsNil)
	c.Assert(b.Unallocated(), qt.Equals, Tokens(700))
	for i := range MaxTopUpIDs + 3 {
		_, err := treasury.TopUp(budgetA, uuid.UUID{byte(i), 1}.String(), 1)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(b.TopUps, qt.HasLen, MaxTopUpIDs)
	c.Assert(treasury.Check(), qt.IsNil)
}

// TestIntervalSet guards against slots that are lost or added twice, by comparison
// with a map.
func TestIntervalSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set IntervalSet
		want := map[Slot]bool{}
		for _, slot := range rapid.SliceOf(rapid.Uint32Range(1, 60)).Draw(t, "slots") {
			if set.Add(Slot(slot)) == want[Slot(slot)] {
				t.Fatalf("wrong answer for %d in %v", slot, set)
			}
			want[Slot(slot)] = true
		}
		if !set.valid() || set.Len() != len(want) {
			t.Fatalf("%v has %d slots, want %d", set, set.Len(), len(want))
		}
		for slot := Slot(0); slot < 62; slot++ {
			if set.Contains(slot) != want[slot] {
				t.Fatalf("slot %d in %v", slot, set)
			}
		}
	})
}
