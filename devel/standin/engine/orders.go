package engine

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Order is a command to the engine. Fence is its fencing token.
type Order struct {
	Fence int64  `json:"fence"`
	Kind  string `json:"kind"`
	Model string `json:"model"`
	Value string `json:"value"`
}

// OrderRecord is an entry of the command log.
type OrderRecord struct {
	Order
	Start, End time.Time
	// Fenced is set if the engine rejected the command because its fencing token
	// was stale.
	Fenced bool
	Err    error
}

type orderState struct {
	highest int64
	log     []OrderRecord
	role    string
}

// Orders returns the ground-truth log of commands, in order of execution.
func (e *Engine) Orders() []OrderRecord {
	e.ordersMu.Lock()
	defer e.ordersMu.Unlock()
	return append([]OrderRecord(nil), e.orders.log...)
}

// Role returns the role that the last set-role command set.
func (e *Engine) Role() string {
	e.ordersMu.Lock()
	defer e.ordersMu.Unlock()
	return e.orders.role
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	e.ordersMu.Lock()
	defer e.ordersMu.Unlock()
	record := OrderRecord{Order: order, Start: time.Now()}
	defer func() {
		record.End = time.Now()
		e.orders.log = append(e.orders.log, record)
	}()
	if e.cfg.ChecksFence && order.Fence < e.orders.highest {
		record.Fenced = true
		writeError(w, http.StatusConflict, fmt.Errorf("fence %d is lower than %d", order.Fence, e.orders.highest))
		return
	}
	e.orders.highest = max(e.orders.highest, order.Fence)
	if record.Err = e.execute(r.Context(), order); record.Err != nil {
		writeError(w, http.StatusBadRequest, record.Err)
		return
	}
	writeJSON(w, map[string]bool{"done": true})
}

// execute runs a command. The caller holds ordersMu.
func (e *Engine) execute(ctx context.Context, order Order) error {
	switch order.Kind {
	case "load-model", "load-adapter", "load-version":
		if err := e.fetchWeights(ctx, order.Model); err != nil {
			return err
		}
		e.setModel(order.Model, true)
	case "unload-model":
		e.setModel(order.Model, false)
	case "set-role":
		e.orders.role = order.Value
	default:
		return fmt.Errorf("unknown order %q", order.Kind)
	}
	return nil
}

func (e *Engine) setModel(model string, loaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.models[model] = loaded
}

// fetchWeights downloads the weights of a model from the weight store.
func (e *Engine) fetchWeights(ctx context.Context, model string) error {
	if e.cfg.WeightsURL == "" {
		return nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.cfg.WeightsURL+"/weights/"+url.PathEscape(model), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answered %s", resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// serveExport writes one record per block of a cached prefix: the block's hash as a
// 64-bit big-endian integer, followed by KVBytesPerBlock bytes.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	hash, err := strconv.ParseUint(r.PathValue("hash"), 16, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	e.mu.Lock()
	chain := e.core.cache.chain(hash)
	e.mu.Unlock()
	if chain == nil {
		writeError(w, http.StatusNotFound, errors.New("prefix is not cached"))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	record := make([]byte, 8+e.cfg.KVBytesPerBlock)
	for _, h := range chain {
		binary.BigEndian.PutUint64(record, h)
		if _, err := w.Write(record); err != nil {
			return
		}
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	hash, err := strconv.ParseUint(r.PathValue("hash"), 16, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	record := make([]byte, 8+e.cfg.KVBytesPerBlock)
	var chain []uint64
	for {
		if _, err := io.ReadFull(r.Body, record); err == io.EOF {
			break
		} else if err != nil || len(chain) >= e.cfg.KVBlocks {
			writeError(w, http.StatusBadRequest, errors.New("damaged export"))
			return
		}
		chain = append(chain, binary.BigEndian.Uint64(record))
	}
	if len(chain) == 0 || chain[len(chain)-1] != hash {
		writeError(w, http.StatusBadRequest, errors.New("export of another prefix"))
		return
	}
	e.mu.Lock()
	stored := e.core.cache.importChain(time.Now(), chain)
	e.mu.Unlock()
	if !stored {
		writeError(w, http.StatusInsufficientStorage, errors.New("no room"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
