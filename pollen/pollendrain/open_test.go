package pollendrain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an exit whose log does not tell which requests it cut off, or how far they had come.
func TestOpenRequestsAreListedUntilTheyEnd(t *testing.T) {
	c := qt.New(t)
	var open OpenRequests
	c.Assert(open.List(), qt.HasLen, 0)
	received := time.Unix(1000, 0)
	second, first := open.Add("b", received.Add(time.Second)), open.Add("a", received)
	first.SetStage(Sent)
	list := open.List()
	c.Assert(list, qt.HasLen, 2)
	c.Assert(list[0], qt.Equals, first, qt.Commentf("oldest in front"))
	c.Assert(list[0].Stage().String(), qt.Equals, "sent")
	c.Assert(list[1].Stage().String(), qt.Equals, "waiting")
	open.Remove(first)
	list = open.List()
	c.Assert(list, qt.HasLen, 1)
	c.Assert(list[0], qt.Equals, second)
	open.Remove(second)
	c.Assert(open.List(), qt.HasLen, 0)
}
