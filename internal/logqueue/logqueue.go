// Package logqueue provides a writer for logs that never blocks: lines go through
// a bounded queue to the real output, and are dropped and counted when it is
// full.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity bounds the lines that wait.
	queueCapacity = 1024
	// closeTimeout bounds the wait for the last lines.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer of whole lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// New returns a writer to out and starts the goroutine that writes.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped that no line has told yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = w.out.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":%q,\"of\":\"any\",\"count\":%d}\n", DroppedMessage, n)
		}
	}
}

// Close writes what is queued, as far as the output takes it at once. Lines
// written afterwards are lost.
func (w *Writer) Close() {
	w.once.Do(func() {
		select {
		case w.lines <- nil:
		default:
		}
		select {
		case <-w.done:
		case <-time.After(closeTimeout):
		}
	})
}
