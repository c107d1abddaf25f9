package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/lentilstand/lentilstand/internal/stand"
	"github.com/lentilstand/lentilstand/platform/fakes"
)

// standInCommand runs a stand-in for an external system.
type standInCommand struct {
	Listen string `arg:"--listen,required" placeholder:"ADDRESS" help:"IP address and port to listen on"`

	KeyValue    *keyValueStandIn    `arg:"subcommand:key-value" help:"the platform's key-value service"`
	HostList    *hostListStandIn    `arg:"subcommand:host-list" help:"the platform's host list"`
	WeightStore *weightStoreStandIn `arg:"subcommand:weight-store" help:"the rate-limited weight store"`
	Engine      *engineStandIn      `arg:"subcommand:engine" help:"a model engine"`
	Plain       *plainStandIn       `arg:"subcommand:plain" help:"a plain service"`
}

type keyValueStandIn struct{}

type hostListStandIn struct {
	LagMS int `arg:"--lag-ms" default:"1000" help:"delay before the list shows a change"`
}

type weightStoreStandIn struct {
	BytesPerSecond int64 `arg:"--bytes-per-second" default:"100000000" help:"total read rate, shared by all readers"`
}

type engineStandIn struct {
	Capacity     int  `arg:"--capacity" default:"8" help:"concurrent requests that the warm engine can run"`
	ColdCapacity int  `arg:"--cold-capacity" default:"2" help:"concurrent requests that the cold engine can run"`
	WarmAfter    int  `arg:"--warm-after" default:"8" help:"completed requests after which the engine is warm"`
	StepMS       int  `arg:"--step-ms" default:"10" help:"duration of a decoding step"`
	PrefillMS    int  `arg:"--prefill-ms" default:"30" help:"duration of the prefill before the first step"`
	ChecksFence  bool `arg:"--checks-fence" help:"reject orders with an outdated fencing number"`
}

type plainStandIn struct {
	Capacity int `arg:"--capacity" default:"8" help:"concurrent requests that the service can run"`
	TimeMS   int `arg:"--time-ms" default:"5" help:"duration of a request"`
}

func (c *standInCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	handler, closeHandler := c.handler()
	if handler == nil {
		fmt.Fprintln(stderr, "error: a subcommand of stand-in is needed; see lentilstand stand-in --help")
		return exitUsage
	}
	defer closeHandler()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	fmt.Fprintf(stdout, "listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

// handler returns the selected stand-in and a function that closes it. The handler
// is nil if no stand-in is selected.
func (c *standInCommand) handler() (http.Handler, func()) {
	noop := func() {}
	switch {
	case c.KeyValue != nil:
		return fakes.NewStore(stand.NewKV()), noop
	case c.HostList != nil:
		return stand.NewHostList(time.Duration(c.HostList.LagMS) * time.Millisecond), noop
	case c.WeightStore != nil:
		return stand.NewWeightStore(c.WeightStore.BytesPerSecond), noop
	case c.Engine != nil:
		engine := stand.NewEngine(c.Engine.spec())
		return engine, engine.Close
	case c.Plain != nil:
		return stand.NewPlain(stand.PlainSpec{
			Capacity:       c.Plain.Capacity,
			ProcessingTime: time.Duration(c.Plain.TimeMS) * time.Millisecond,
		}), noop
	}
	return nil, noop
}

func (c *engineStandIn) spec() stand.EngineSpec {
	spec := stand.DefaultEngineSpec()
	spec.Capacity = c.Capacity
	spec.ColdCapacity = c.ColdCapacity
	spec.WarmAfter = c.WarmAfter
	spec.Step = time.Duration(c.StepMS) * time.Millisecond
	spec.Prefill = time.Duration(c.PrefillMS) * time.Millisecond
	spec.ChecksFence = c.ChecksFence
	return spec
}
