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

// standInCommand runs a stand-in of an outside system.
type standInCommand struct {
	Listen string `arg:"--listen,required" placeholder:"ADDRESS" help:"IP address and port"`

	KeyValue    *keyValueStandIn    `arg:"subcommand:key-value" help:"the platform's key-value service"`
	HostList    *hostListStandIn    `arg:"subcommand:host-list" help:"the platform's host list"`
	WeightStore *weightStoreStandIn `arg:"subcommand:weight-store" help:"the rate-limited weight store"`
	Engine      *engineStandIn      `arg:"subcommand:engine" help:"a model engine"`
	Plain       *plainStandIn       `arg:"subcommand:plain" help:"a plain service"`
}

type keyValueStandIn struct{}

type hostListStandIn struct {
	LagMS int `arg:"--lag-ms" default:"1000" help:"how late the list shows changes"`
}

type weightStoreStandIn struct {
	BytesPerSecond int64 `arg:"--bytes-per-second" default:"100000000" help:"the rate that all readers share"`
}

type engineStandIn struct {
	Capacity     int  `arg:"--capacity" default:"8" help:"how many requests the warm engine bears"`
	ColdCapacity int  `arg:"--cold-capacity" default:"2" help:"how many it bears cold"`
	WarmAfter    int  `arg:"--warm-after" default:"8" help:"how many completions make it warm"`
	StepMS       int  `arg:"--step-ms" default:"10" help:"the time of a step"`
	PrefillMS    int  `arg:"--prefill-ms" default:"30" help:"the time before the first step"`
	ChecksFence  bool `arg:"--checks-fence" help:"refuse orders with an old fencing number"`
}

type plainStandIn struct {
	Capacity int `arg:"--capacity" default:"8" help:"how many requests the service bears"`
	TimeMS   int `arg:"--time-ms" default:"5" help:"how long a request takes"`
}

func (c *standInCommand) run(ctx context.Context, out, errs io.Writer) int {
	handler, end := c.handler()
	if handler == nil {
		fmt.Fprintln(errs, "error: name the stand-in; see lentilstand stand-in --help")
		return exitUsage
	}
	defer end()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	fmt.Fprintf(out, "listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	return exitOK
}

// handler returns the chosen stand-in and what ends it, nil if none is chosen.
func (c *standInCommand) handler() (http.Handler, func()) {
	nothing := func() {}
	switch {
	case c.KeyValue != nil:
		return fakes.NewStore(stand.NewKV()), nothing
	case c.HostList != nil:
		return stand.NewHostList(time.Duration(c.HostList.LagMS) * time.Millisecond), nothing
	case c.WeightStore != nil:
		return stand.NewWeightStore(c.WeightStore.BytesPerSecond), nothing
	case c.Engine != nil:
		engine := stand.NewEngine(c.Engine.spec())
		return engine, engine.Close
	case c.Plain != nil:
		return stand.NewPlain(stand.PlainSpec{
			Capacity:       c.Plain.Capacity,
			ProcessingTime: time.Duration(c.Plain.TimeMS) * time.Millisecond,
		}), nothing
	}
	return nil, nothing
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
