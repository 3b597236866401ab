// Package logqueue keeps logging from slowing down the program.
//
// Writer is a log output that never blocks. It passes lines through a bounded queue to the real
// output, and drops and counts lines while the queue is full. Handler limits the rate of one log
// message.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the largest number of lines in the queue.
	queueCapacity = 1024
	// closeTimeout bounds the time that Close waits for the queue to be written.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer that queues lines for another writer. Each call of Write has to pass one
// whole line. Writer is safe for concurrent use.
type Writer struct {
	out io.Writer
	// lines is the queue. A nil line ends the goroutine that writes.
	lines chan []byte
	// dropped counts the dropped lines that have not been reported in the output yet.
	dropped atomic.Int64
	// done is closed when the goroutine that writes has ended.
	done chan struct{}
	once sync.Once
}

// New returns a writer to out and starts the goroutine that writes the queued lines.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line, or drops the line if the queue is full. It never blocks, and always
// returns the length of line and no error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported in the output yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// run writes queued lines until it receives a nil line. After a line that is written, it reports
// the lines dropped so far in one line of JSON, in the form of slog's JSON handler. Errors of the
// output are ignored, because there is nowhere to report them.
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

// Close waits for the queued lines to be written, but at most 200 ms, so that an output that blocks
// does not hold up the program's end. Lines that are passed to Write afterwards are lost.
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
