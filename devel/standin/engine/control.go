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

// Command is an administrative command to the engine, in the format of the /orders
// endpoint.
type Command struct {
	FencingToken int64  `json:"fence"`
	Kind         string `json:"kind"`
	Model        string `json:"model"`
	Value        string `json:"value"`
}

// CommandRecord is an entry of the command log.
type CommandRecord struct {
	Command
	Start, End time.Time
	// Fenced is set if the engine rejected the command because its fencing token
	// was stale.
	Fenced bool
	Err    error
}

type commandState struct {
	highestToken int64 // the highest fencing token received
	log          []CommandRecord
	role         string
}

// Commands returns the ground-truth log of commands, in order of execution. It includes
// rejected and failed ones.
func (e *Engine) Commands() []CommandRecord {
	e.commandsMu.Lock()
	defer e.commandsMu.Unlock()
	return append([]CommandRecord(nil), e.commands.log...)
}

// Role returns the role that the last set-role command set.
func (e *Engine) Role() string {
	e.commandsMu.Lock()
	defer e.commandsMu.Unlock()
	return e.commands.role
}

func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	var command Command
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&command); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	e.commandsMu.Lock()
	defer e.commandsMu.Unlock()
	record := CommandRecord{Command: command, Start: time.Now()}
	defer func() {
		record.End = time.Now()
		e.commands.log = append(e.commands.log, record)
	}()
	if e.cfg.ChecksFencingToken && command.FencingToken < e.commands.highestToken {
		record.Fenced = true
		writeError(w, http.StatusConflict, fmt.Errorf("fence %d is lower than %d", command.FencingToken, e.commands.highestToken))
		return
	}
	e.commands.highestToken = max(e.commands.highestToken, command.FencingToken)
	if record.Err = e.execute(r.Context(), command); record.Err != nil {
		writeError(w, http.StatusBadRequest, record.Err)
		return
	}
	writeJSON(w, map[string]bool{"done": true})
}

// execute runs a command. The caller holds commandsMu.
func (e *Engine) execute(ctx context.Context, command Command) error {
	switch command.Kind {
	case "load-model", "load-adapter", "load-version":
		if err := e.fetchWeights(ctx, command.Model); err != nil {
			return err
		}
		e.setModel(command.Model, true)
	case "unload-model":
		e.setModel(command.Model, false)
	case "set-role":
		e.commands.role = command.Value
	default:
		return fmt.Errorf("unknown order %q", command.Kind)
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

// serveImport adds a prefix to the cache, in the format of serveExport.
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
