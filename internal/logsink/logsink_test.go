package logsink_test

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chervilrun/chervilrun/internal/logsink"
)

// lockedBuffer is a buffer that is safe for concurrent writes.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func TestWritesLinesInOrder(t *testing.T) {
	out := &lockedBuffer{}
	sink := logsink.New(out, 8)
	for _, line := range []string{"one\n", "two\n", "three\n"} {
		n, err := sink.Write([]byte(line))
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	sink.Close(time.Minute)
	require.Equal(t, "one\ntwo\nthree\n", out.buf.String())
}

// A stalled reader must not block the writer; the lines that it misses are counted.
func TestStalledReaderNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	sink := logsink.New(writer, 4)
	for range 100 {
		_, err := sink.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, sink.Dropped(), int64(94))
	require.NoError(t, reader.Close())
	sink.Close(time.Minute)
}

// Guards against a panic of a process that is ending: requests in progress may log after the sink was
// closed.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	sink := logsink.New(&lockedBuffer{}, 4)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 1000 {
				_, err := sink.Write([]byte("line\n"))
				require.NoError(t, err)
			}
		})
	}
	sink.Close(time.Minute)
	writers.Wait()
	dropped := sink.Dropped()
	_, err := sink.Write([]byte("line\n"))
	require.NoError(t, err)
	require.Equal(t, dropped+1, sink.Dropped())
	sink.Close(time.Minute)
}
