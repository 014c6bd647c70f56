package polleninstance

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollencontrol"
)

// exitPanic is the exit status after the control state was found broken.
const exitPanic = 3

// controlActor runs the control state in one actor.
type controlActor struct {
	system *actor.ActorSystem
	pid    *actor.PID
	core   *pollencontrol.Core
	done   chan struct{}
}

func newControlActor(logger *slog.Logger, build func(post func(any)) *pollencontrol.Core) *controlActor {
	c := &controlActor{
		system: actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger })),
		done:   make(chan struct{}),
	}
	c.core = build(c.post)
	c.pid = c.system.Root.Spawn(actor.PropsFromFunc(c.receive))
	return c
}

// run posts ticks until stop is called.
func (c *controlActor) run() {
	ticker := time.NewTicker(pollencontrol.TickTime)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			c.post(pollencontrol.Tick{})
		}
	}
}

func (c *controlActor) stop() {
	close(c.done)
	c.system.Root.Stop(c.pid)
	c.system.Shutdown()
}

func (c *controlActor) post(message any) {
	c.system.Root.Send(c.pid, message)
}

func (c *controlActor) receive(ctx actor.Context) {
	// The actor library would restart the actor with its state half changed.
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "Control state is broken", "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			os.Exit(exitPanic)
		}
	}()
	switch ctx.Message().(type) {
	case *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting:
		return
	}
	c.core.Receive(ctx.Message())
}
