package main

import (
	"bytes"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/lentilstand/lentilstand/internal/event"
)

// settingsPeriod is how often the settings file is looked at for changes that no
// signal tells of.
const settingsPeriod = 2 * time.Second

// hangups returns a channel of SIGHUP. A daemon calls it first of all: until then
// the signal ends the process.
func hangups() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchSettings calls reload on SIGHUP and when the file's content changes, until
// stop is called. Settings that reload refuses are logged and left.
func watchSettings(path string, logger *zap.Logger, signals chan os.Signal, reload func() error) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(settingsPeriod)
		defer ticker.Stop()
		known, _ := os.ReadFile(path)
		for {
			signalled := false
			select {
			case <-done:
				return
			case <-signals:
				signalled = true
			case <-ticker.C:
			}
			content, err := os.ReadFile(path)
			if err == nil && !signalled && bytes.Equal(content, known) {
				continue
			}
			if err == nil {
				known = content
				err = reload()
			}
			if err != nil && (signalled || !os.IsNotExist(err)) {
				event.SettingsRefused.Log(logger, zap.String("path", path), event.Error(err))
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}
