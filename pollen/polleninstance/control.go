package polleninstance

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

// protoActor is an actor of the actor library.
type protoActor struct {
	system *actor.ActorSystem
	pid    *actor.PID
}

func spawn(logger *slog.Logger, receive func(message any)) *protoActor {
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	return &protoActor{system: system, pid: system.Root.Spawn(actor.PropsFromFunc(func(ctx actor.Context) {
		deliver(ctx, receive)
	}))}
}

// Post implements Actor.
func (a *protoActor) Post(message any) {
	a.system.Root.Send(a.pid, message)
}

// Stop implements Actor.
func (a *protoActor) Stop() {
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
