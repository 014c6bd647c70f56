package pollenfront

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"
)

// Guards against panics of request handlers, which end connections without an answer, that operators can't see.
func TestPanicsOfHandlersAreErrors(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(&output, nil)))
	t.Cleanup(klog.ClearLogger)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("odd request") }))
	server.Config = newHTTPServer(freeAddress(), server.Config.Handler)
	server.Start()
	_, err := server.Client().Get(server.URL)
	c.Assert(err, qt.ErrorIs, io.EOF)
	server.Close()
	c.Assert(output.String(), qt.Contains, `"level":"ERROR"`)
	c.Assert(output.String(), qt.Contains, "odd request")
}
