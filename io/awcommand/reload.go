package awcommand

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"arbutuswind/io/awsettings"
)

// settingsPollInterval is the time between two checks whether the settings file
// has changed, since not every change comes with a signal.
const settingsPollInterval = 2 * time.Second

// settingsWatch configures [watchSettings].
type settingsWatch struct {
	Logger  log.Logger
	File    string
	Load    func(file string) (awsettings.Fleet, error)
	Started awsettings.Fleet // with which the process has started
	Applied []string         // keys whose changes Apply puts in force
	Apply   func(awsettings.Fleet)
}

// watchSettings reloads the settings on SIGHUP and when the file changes, until
// ctx ends. Invalid settings are logged and not applied. It must be called
// before anything else is started: without it, SIGHUP ends the process.
func watchSettings(ctx context.Context, w settingsWatch) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // also while the process stops, so that the signal does not end it
	go func() {
		tick := time.NewTicker(settingsPollInterval)
		defer tick.Stop()
		last := modTime(w.File)
		for {
			cause := "signal"
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-tick.C:
				if modTime(w.File).Equal(last) {
					continue
				}
				cause = "file changed"
			}
			last = modTime(w.File)
			w.reload(cause)
		}
	}()
}

// reload reads the settings and puts in force what can be without a restart.
func (w *settingsWatch) reload(cause string) {
	cfg, err := w.Load(w.File)
	if err != nil {
		_ = level.Error(w.Logger).Log("Message", "failed to reload settings", "Cause", cause, "Error", err.Error())
		return
	}
	w.Apply(cfg)
	waiting := slices.DeleteFunc(w.Started.ChangedKeys(cfg), func(key string) bool { return slices.Contains(w.Applied, key) })
	_ = level.Info(w.Logger).Log("Message", "settings reloaded", "Cause", cause, "NeedRestart", strings.Join(waiting, ","))
}

// modTime returns the modification time of a file, or the zero time if it cannot
// be read; the next load then reports the error.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// ignoreHangup keeps SIGHUP from ending the process until watchSettings handles
// it. The settings are read after this, so a signal that is ignored is not needed.
func ignoreHangup() { signal.Ignore(syscall.SIGHUP) }
