// Package weights is a stand-in for the weight store. It serves the weights of
// models with a limit on the total rate.
package weights

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// chunkBytes is the size of a write, and the burst of the rate limiter.
const chunkBytes = 64 << 10

// Config configures a store.
type Config struct {
	// BytesPerSecond is the rate that all readers share; default 64 MiB/s.
	BytesPerSecond int
	// ModelBytes is the size of models that are not in Sizes; default 1 MiB.
	// Sizes holds sizes in bytes by model.
	ModelBytes int64
	Sizes      map[string]int64
}

// Transfer is an entry of the ground-truth log.
type Transfer struct {
	Model      string
	Bytes      int64
	Start, End time.Time
	// Complete is false if the client disconnected early.
	Complete bool
}

// Store is a weight store. It is safe for concurrent use.
type Store struct {
	cfg     Config
	limiter *rate.Limiter

	mu  sync.Mutex
	log []Transfer
}

// New returns a store.
func New(cfg Config) *Store {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = 64 << 20
	}
	if cfg.ModelBytes == 0 {
		cfg.ModelBytes = 1 << 20
	}
	return &Store{cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), chunkBytes)}
}

// Transfers returns the ground-truth log, in order of completion.
func (s *Store) Transfers() []Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Transfer(nil), s.log...)
}

// Handler serves GET /weights/<model>.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}", s.serve)
	return mux
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	model := r.PathValue("model")
	size, found := s.cfg.Sizes[model]
	if !found {
		size = s.cfg.ModelBytes
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	t := Transfer{Model: model, Start: time.Now()}
	t.Bytes = s.stream(r.Context(), w, size)
	t.End, t.Complete = time.Now(), t.Bytes == size
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, t)
}

// stream writes size bytes at the limited rate and returns the number of bytes
// written.
func (s *Store) stream(ctx context.Context, w http.ResponseWriter, size int64) int64 {
	buffer := make([]byte, chunkBytes)
	var sent int64
	for sent < size {
		n := min(int64(len(buffer)), size-sent)
		if s.limiter.WaitN(ctx, int(n)) != nil {
			return sent
		}
		if _, err := w.Write(buffer[:n]); err != nil {
			return sent
		}
		sent += n
	}
	return sent
}
