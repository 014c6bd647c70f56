package pollenactor

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/asynkron/protoactor-go/actor"
	"k8s.io/klog/v2"
)

// panicExitStatus is the exit status of the process after a panic in an actor.
const panicExitStatus = 3

// Actor calls a function with each posted message, in the order of the posts.
type Actor struct {
	system *actor.ActorSystem
	pid    *actor.PID
}

// Spawn starts an actor that calls receive with every message.
func Spawn(logger *slog.Logger, receive func(message any)) *Actor {
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	return &Actor{system: system, pid: system.Root.Spawn(actor.PropsFromFunc(func(ctx actor.Context) {
		deliver(ctx, receive)
	}))}
}

// Post queues a message without waiting until it is handled.
func (a *Actor) Post(message any) {
	a.system.Root.Send(a.pid, message)
}

// Stop stops the actor after the message that it is handling.
func (a *Actor) Stop() {
	a.system.Root.Stop(a.pid)
	a.system.Shutdown()
}

// deliver calls receive with a message and exits the process if receive panics: the actor library would restart the
// actor with its state partly changed.
func deliver(ctx actor.Context, receive func(message any)) {
	defer func() {
		if cause := recover(); cause != nil {
			klog.ErrorS(nil, "Panic in control state", "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
			os.Exit(panicExitStatus)
		}
	}()
	switch ctx.Message().(type) {
	case *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting:
		return
	}
	receive(ctx.Message())
}
