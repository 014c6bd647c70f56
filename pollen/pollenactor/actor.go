package pollenactor

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/asynkron/protoactor-go/actor"
	"k8s.io/klog/v2"
)

// exitPanic is the exit status after the control state was found broken.
const exitPanic = 3

// Actor delivers messages to a function in the order in which they were posted.
type Actor struct {
	system *actor.ActorSystem
	pid    *actor.PID
}

// Spawn starts an actor that hands every message to receive.
func Spawn(logger *slog.Logger, receive func(message any)) *Actor {
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	return &Actor{system: system, pid: system.Root.Spawn(actor.PropsFromFunc(func(ctx actor.Context) {
		deliver(ctx, receive)
	}))}
}

// Post queues a message without waiting for it to be received.
func (a *Actor) Post(message any) {
	a.system.Root.Send(a.pid, message)
}

// Stop ends the actor after the message that it is receiving.
func (a *Actor) Stop() {
	a.system.Root.Stop(a.pid)
	a.system.Shutdown()
}

// deliver hands a message on; the actor library would restart a broken actor with its state half changed.
func deliver(ctx actor.Context, receive func(message any)) {
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
	receive(ctx.Message())
}
