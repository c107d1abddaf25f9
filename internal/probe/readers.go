package probe

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot/plotter"

	"github.com/lentilstand/lentilstand/internal/bench"
	"github.com/lentilstand/lentilstand/internal/plots"
	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/pkg/config"
)

// Parameters of the measure slow_reader_memory.
const (
	readerDuration      = 5 * time.Second
	briefReaderDuration = time.Second
	readBytesPerSecond  = 150
	shortAnswerTokens   = 20_000
	longAnswerTokens    = 80_000
	tokenBytes          = 150
	// maxBaselineReaders limits the readers of the baseline, which buffers complete
	// responses.
	maxBaselineReaders = 100
)

// slowReaders opens connections that request a long response and read
// readBytesPerSecond, the size of about one token, until stop is closed.
func slowReaders(address, request string, count int, stop <-chan struct{}) (*sync.WaitGroup, error) {
	var wait sync.WaitGroup
	for range count {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return &wait, eris.Wrap(err, "can't connect a reader")
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		if _, err := conn.Write([]byte(request)); err != nil {
			return &wait, eris.Wrap(err, "can't send a reader's request")
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { _ = conn.Close() }()
			buffer := make([]byte, readBytesPerSecond)
			ticker := time.NewTicker(time.Second)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					if _, err := conn.Read(buffer); err != nil {
						return
					}
				case <-stop:
					return
				}
			}
		}()
	}
	return &wait, nil
}

// slowReaderMemory measures the memory used for slow readers, with responses of two
// lengths.
func (r *Run) slowReaderMemory(ctx context.Context) error {
	counts, duration := []int{10, 100, 1000}, readerDuration
	if r.brief {
		counts, duration = []int{5}, briefReaderDuration
	}
	var entryPoints, baselinePoints plotter.XYs
	for _, count := range counts {
		for _, tokens := range []int{shortAnswerTokens, longAnswerTokens} {
			held, err := entryMemory(ctx, count, tokens, duration)
			if err != nil {
				return err
			}
			if tokens == longAnswerTokens {
				entryPoints = append(entryPoints, plotter.XY{X: float64(count), Y: held / 1e6})
			}
			name := fmt.Sprintf("readers_%d_tokens_%d", count, tokens)
			if count > maxBaselineReaders || raceDetector {
				r.report(name, "byte a reader", held/float64(count), "flat in the length of the answer")
				continue
			}
			baseline, err := baselineMemory(count, tokens, duration)
			if err != nil {
				return err
			}
			r.compare(name, "byte a reader", held/float64(count), baseline/float64(count), "flat in the length of the answer")
			if tokens == longAnswerTokens {
				baselinePoints = append(baselinePoints, plotter.XY{X: float64(count), Y: baseline / 1e6})
			}
		}
	}
	r.plotLines("slow_reader_memory: long answers", "readers", "MB held",
		plots.NewLine("nbhttp default", baselinePoints), plots.NewLine("entry, agent and engine", entryPoints))
	return nil
}

// entryMemory returns the live bytes used for slow readers by an entry, an agent and
// the stand-in for the engine together.
func entryMemory(ctx context.Context, count, tokens int, duration time.Duration) (float64, error) {
	engine := stand.DefaultEngineSpec()
	engine.Capacity, engine.ColdCapacity, engine.Step = count+1, count+1, time.Millisecond
	b, err := bench.Start(ctx, bench.Spec{
		Region:      "r",
		DataCentres: []string{"dc-0"},
		Teams:       []string{"a"},
		Entries:     []bench.EntrySpec{{Name: "entry-0", DataCentre: "dc-0"}},
		Services: []bench.Service{{
			Name: "model", Kind: config.KindModel, Repeatable: true,
			ExtraFields: `"queue": {"max_requests": 2000, "max_wait_ms": 20000}`,
			Replicas: []bench.Replica{
				{Name: "model-0", DataCentre: "dc-0", Engine: engine, Warm: true},
			},
		}},
	})
	if err != nil {
		return 0, err
	}
	defer b.Close()
	body := fmt.Sprintf(`{"model": "model", "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": "long"}]}`, tokens)
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		bench.APIKey("a"), len(body), body)
	return memoryGrowth(b.Entry("entry-0").Address(), request, count, duration)
}

// memoryGrowth returns the increase of live bytes while slow readers read.
func memoryGrowth(address, request string, count int, duration time.Duration) (float64, error) {
	before := settledLiveBytes()
	stop := make(chan struct{})
	wait, err := slowReaders(address, request, count, stop)
	time.Sleep(duration)
	held := liveBytes() - before
	close(stop)
	wait.Wait()
	return held, err
}

// settledLiveBytes returns the live bytes after garbage of earlier parts of the run
// has been collected.
func settledLiveBytes() float64 {
	const rounds, pause = 5, 200 * time.Millisecond
	for range rounds {
		time.Sleep(pause)
		runtime.GC()
	}
	return liveBytes()
}

// baselineMemory returns the live bytes used for slow readers by an nbhttp server
// with default settings that writes a response of the same size.
func baselineMemory(count, tokens int, duration time.Duration) (float64, error) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		piece := make([]byte, tokenBytes)
		for range tokens {
			_, _ = w.Write(piece)
			w.(http.Flusher).Flush()
		}
	})
	engine := nbhttp.NewEngine(nbhttp.Config{Network: "tcp", Addrs: []string{"127.0.0.1:0"}, Handler: handler})
	if err := engine.Start(); err != nil {
		return 0, eris.Wrap(err, "can't start the baseline")
	}
	defer engine.Stop()
	return memoryGrowth(engine.Addrs[0], "GET / HTTP/1.1\r\nHost: x\r\n\r\n", count, duration)
}
