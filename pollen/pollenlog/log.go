package pollenlog

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// Setup sends klog's output to w as JSON lines that carry the program and the instance, and returns the logger.
func Setup(w io.Writer, program, instance string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: pascalCase})
	logger := slog.New(handler).With("Program", program, "Instance", instance)
	klog.SetSlogLogger(logger)
	return logger
}

func pascalCase(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 || a.Key == "" {
		return a
	}
	first := a.Key[0]
	if first >= 'a' && first <= 'z' {
		a.Key = string(first-'a'+'A') + a.Key[1:]
	}
	return a
}
