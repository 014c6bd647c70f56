package pollensettings

import (
	"bytes"
	"context"
	"os"
	"time"

	"k8s.io/klog/v2"
)

// FollowConfig configures Follow.
type FollowConfig struct {
	// File is the path of the settings file.
	File string
	// Interval is the time between two checks of the file for changes.
	Interval time.Duration
	// Signals triggers an immediate reload, even if the file has not changed.
	Signals <-chan os.Signal
	// Apply parses the file's content and puts it into effect; on an error the former settings stay in effect.
	Apply func(data []byte) error
}

// Follow reloads the settings file on each signal and each change of its content, until ctx is done.
//
// If the file can't be read or Apply returns an error, Follow logs it and the settings stay unchanged.
func Follow(ctx context.Context, config FollowConfig) {
	ticker := time.NewTicker(config.Interval)
	defer ticker.Stop()
	lastContent, err := os.ReadFile(config.File)
	if err != nil {
		klog.ErrorS(err, "Cannot read settings file", "file", config.File)
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-config.Signals:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(config.File)
		if err == nil && !signalled && bytes.Equal(data, lastContent) {
			continue
		}
		if err == nil {
			lastContent = data
			err = config.Apply(data)
		}
		if err != nil {
			klog.ErrorS(&FileError{File: config.File, Err: err}, "Settings kept as they were", "signalled", signalled)
		}
	}
}
