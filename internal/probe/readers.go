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

// The load of slow_reader_memory.
const (
	readerTime      = 5 * time.Second
	briefReaderTime = time.Second
	readerBytes     = 150
	shortAnswer     = 20_000
	longAnswer      = 80_000
	tokenBytes      = 150
	// maxBaseline bounds the readers of the baseline, which holds whole answers.
	maxBaseline = 100
)

// slowReaders opens connections that ask for a long answer and take a token's
// bytes a second, until stop is closed.
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
			buffer := make([]byte, readerBytes)
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

// slowReaderMemory measures the memory that slow readers hold, at answers of
// two lengths.
func (r *Run) slowReaderMemory(ctx context.Context) error {
	counts, length := []int{10, 100, 1000}, readerTime
	if r.brief {
		counts, length = []int{5}, briefReaderTime
	}
	var ours, theirs plotter.XYs
	for _, count := range counts {
		for _, tokens := range []int{shortAnswer, longAnswer} {
			held, err := heldByEntry(ctx, count, tokens, length)
			if err != nil {
				return err
			}
			if tokens == longAnswer {
				ours = append(ours, plotter.XY{X: float64(count), Y: held / 1e6})
			}
			name := fmt.Sprintf("readers_%d_tokens_%d", count, tokens)
			if count > maxBaseline || raceDetector {
				r.report(name, "byte a reader", held/float64(count), "flat in the length of the answer")
				continue
			}
			baseline, err := heldByDefault(count, tokens, length)
			if err != nil {
				return err
			}
			r.compare(name, "byte a reader", held/float64(count), baseline/float64(count), "flat in the length of the answer")
			if tokens == longAnswer {
				theirs = append(theirs, plotter.XY{X: float64(count), Y: baseline / 1e6})
			}
		}
	}
	r.plotLines("slow_reader_memory: long answers", "readers", "MB held",
		plots.NewLine("nbhttp default", theirs), plots.NewLine("entry, agent and engine", ours))
	return nil
}

// heldByEntry returns the live bytes that slow readers hold in an entry, an
// agent and the stand-in of the engine together.
func heldByEntry(ctx context.Context, count, tokens int, length time.Duration) (float64, error) {
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
	return heldWhile(b.Entry("entry-0").Address(), request, count, length)
}

// heldWhile returns by how much live bytes grow while slow readers read.
func heldWhile(address, request string, count int, length time.Duration) (float64, error) {
	before := settledBytes()
	stop := make(chan struct{})
	wait, err := slowReaders(address, request, count, stop)
	time.Sleep(length)
	held := liveBytes() - before
	close(stop)
	wait.Wait()
	return held, err
}

// settledBytes returns the live bytes after what earlier parts of the run have
// left behind is gone.
func settledBytes() float64 {
	const rounds, pause = 5, 200 * time.Millisecond
	for range rounds {
		time.Sleep(pause)
		runtime.GC()
	}
	return liveBytes()
}

// heldByDefault returns the live bytes that slow readers hold in a server of
// nbhttp with its default settings that writes the same answer.
func heldByDefault(count, tokens int, length time.Duration) (float64, error) {
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
	return heldWhile(engine.Addrs[0], "GET / HTTP/1.1\r\nHost: x\r\n\r\n", count, length)
}
