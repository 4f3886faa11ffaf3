// Package weights is a stand-in for the weight store: it streams the weights of
// models at a limited total rate.
package weights

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// chunkBytes is how much is sent per permission of the rate limit.
const chunkBytes = 64 << 10

// Config holds the parameters of a store.
type Config struct {
	// BytesPerSecond is the rate that all readers share; default 64 MiB/s.
	BytesPerSecond int
	// ModelBytes is the size of a model that Sizes does not name; default 1 MiB.
	ModelBytes int64
	Sizes      map[string]int64
}

// Transfer is an entry of the ground-truth log.
type Transfer struct {
	Model      string
	Bytes      int64
	Start, End time.Time
	// Complete is false if the reader left early.
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

// Transfers returns the log, in order of the transfers' ends.
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

// stream writes size bytes at the limited rate and returns how many it wrote.
func (s *Store) stream(ctx context.Context, w http.ResponseWriter, size int64) int64 {
	block := make([]byte, chunkBytes)
	var sent int64
	for sent < size {
		n := min(int64(len(block)), size-sent)
		if s.limiter.WaitN(ctx, int(n)) != nil {
			return sent
		}
		if _, err := w.Write(block[:n]); err != nil {
			return sent
		}
		sent += n
	}
	return sent
}
