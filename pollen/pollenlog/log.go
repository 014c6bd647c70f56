package pollenlog

import (
	"io"
	"log/slog"
	"strings"

	"k8s.io/klog/v2"
)

// Setup directs klog's output to w as JSON lines with the program's and the instance's name, and returns the logger.
func Setup(w io.Writer, program, instance string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		return pascalCaseKeys(groups, cutValue(a))
	}})
	logger := slog.New(handler).With("Program", program, "Instance", instance)
	klog.SetSlogLogger(logger)
	return logger
}

// maxValueBytes bounds a text in a line: clients choose some of them, such as the identifiers of their requests.
const maxValueBytes = 1 << 10

// cutValue returns an attribute whose text is not longer than maxValueBytes, beside the mark of a cut.
func cutValue(a slog.Attr) slog.Attr {
	text := ""
	switch value := a.Value.Any().(type) {
	case string:
		text = value
	case error:
		text = value.Error()
	}
	if len(text) <= maxValueBytes {
		return a
	}
	return slog.String(a.Key, strings.ToValidUTF8(text[:maxValueBytes], "")+"…")
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
