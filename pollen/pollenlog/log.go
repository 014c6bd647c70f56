package pollenlog

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// Setup directs klog's output to w as JSON lines with the program's and the instance's name, and returns the logger.
func Setup(w io.Writer, program, instance string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: pascalCaseKeys})
	logger := slog.New(handler).With("Program", program, "Instance", instance)
	klog.SetSlogLogger(logger)
	return logger
}

// pascalCaseKeys capitalizes the keys of top-level attributes.
func pascalCaseKeys(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 || a.Key == "" {
		return a
	}
	initial := a.Key[0]
	if initial >= 'a' && initial <= 'z' {
		a.Key = string(initial-'a'+'A') + a.Key[1:]
	}
	return a
}
