package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
	runs  map[string]int
}

func newRecord(dir string) *record {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{start: time.Now(), file: file, w: bufio.NewWriter(file), runs: map[string]int{}}
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %-8s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

// say adds a line that is printed, too.
func (r *record) say(format string, args ...any) {
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
	r.add("check", format, args...)
}

// ran notes that a server has begun to work on a request.
func (r *record) ran(id, server string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.add("ran", "request %s at %s", id, server)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
