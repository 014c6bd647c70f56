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
	File string
	// Interval is how often the file is compared with its last content.
	Interval time.Duration
	// Signals makes the file be applied at once, whether it has changed or not.
	Signals <-chan os.Signal
	Apply   func(data []byte) error
}

// Follow applies the file's content at each signal and when the content has changed, until ctx is done.
//
// A file that cannot be read or is refused by Apply is logged, and the settings stay as they are.
func Follow(ctx context.Context, config FollowConfig) {
	ticker := time.NewTicker(config.Interval)
	defer ticker.Stop()
	last, err := os.ReadFile(config.File)
	if err != nil {
		klog.ErrorS(err, "Settings file not read", "file", config.File)
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
		if err == nil && !signalled && bytes.Equal(data, last) {
			continue
		}
		if err == nil {
			last = data
			err = config.Apply(data)
		}
		if err != nil {
			klog.ErrorS(&FileError{File: config.File, Err: err}, "Settings kept as they were", "signalled", signalled)
		}
	}
}
