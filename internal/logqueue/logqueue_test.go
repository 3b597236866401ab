package logqueue_test

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rainford/rainford/internal/logqueue"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.b.String()), "\n")
}

// TestLinesArriveInOrder checks that Close writes the queued lines, in the order of the calls of
// Write.
func TestLinesArriveInOrder(t *testing.T) {
	var out buffer
	w := logqueue.New(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = io.WriteString(w, line)
	}
	w.Close()
	require.Equal(t, []string{"a", "b", "c"}, out.lines())
}

// TestWriterDoesNotBlockOnFullPipe checks that a full pipe, whose reader has stalled, does not block
// Write. It writes far more than the pipe and the queue hold before it reads the pipe. The output
// then has to report the dropped lines.
func TestWriterDoesNotBlockOnFullPipe(t *testing.T) {
	r, pipe, err := os.Pipe()
	require.NoError(t, err)
	w := logqueue.New(pipe)
	line := []byte(strings.Repeat("x", 999) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("Write blocks on a full pipe")
	}
	require.Positive(t, w.Dropped())
	var out buffer
	go func() { _, _ = io.Copy(&out, r) }()
	require.Eventually(t, func() bool {
		return strings.Contains(strings.Join(out.lines(), "\n"), logqueue.DroppedMessage)
	}, 10*time.Second, 5*time.Millisecond)
	w.Close()
	_ = pipe.Close()
}

// TestLimit checks that a burst of one message is limited and leaves room for failures, that other
// messages are not limited, and that the number of dropped lines is logged in a later second.
func TestLimit(t *testing.T) {
	var out buffer
	log := slog.New(logqueue.NewHandler(slog.NewJSONHandler(&out, nil), logqueue.Limit{Message: "request", PerSecond: 10}))
	burst := func() {
		for range 100 {
			log.Info("request")
		}
		for range 100 {
			log.Warn("request")
		}
	}
	burst()
	log.Info("belief")
	first := len(out.lines())
	require.LessOrEqual(t, first, 2*10+2, "10 lines in each of two seconds, a report of dropped lines and another message")
	time.Sleep(1100 * time.Millisecond)
	log.Warn("request")
	all := strings.Join(out.lines(), "\n")
	require.Contains(t, all, `"msg":"belief"`)
	require.Contains(t, all, logqueue.DroppedMessage)
	require.Contains(t, all, `"failures":9`)
	require.GreaterOrEqual(t, strings.Count(all, `"level":"WARN","msg":"request"`), 5)
}
