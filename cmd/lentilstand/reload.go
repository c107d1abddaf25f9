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

// settingsPollInterval is how often the settings file is read to detect changes
// that no SIGHUP announces.
const settingsPollInterval = 2 * time.Second

// notifyHangup returns a channel that receives SIGHUP. A daemon calls it before
// anything else, because SIGHUP terminates the process until then.
func notifyHangup() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchSettings calls reload on SIGHUP and when the content of the file changes,
// until stop is called. If reload fails, the error is logged and the current
// settings stay in effect.
func watchSettings(path string, logger *zap.Logger, signals chan os.Signal, reload func() error) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		lastContent, _ := os.ReadFile(path)
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
			if err == nil && !signalled && bytes.Equal(content, lastContent) {
				continue
			}
			if err == nil {
				lastContent = content
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
