package daemon

import (
	"context"
	"sync"
	"time"

	"chestnutlatch/clock"
	"chestnutlatch/halt"
)

// shutDown performs a planned stop: it drains the targets, closes the callers' port,
// answers the requests in progress, and closes the inner and operator servers, each at its
// time of the timeline. What needs the store or peers runs beside these steps, so that it
// takes no time from them.
func (d *Daemon) shutDown() {
	startedAt := time.Now()
	times := halt.New(d.cfg.StopTimeout, d.platform != nil)
	d.log.Info("daemon is stopping", "timeout_ms", int64(d.cfg.StopTimeout), "drain_ms", int64(times.Drain), "close_ms", int64(times.Close),
		"last_send_ms", int64(times.LastSend), "cut_ms", int64(times.Cut), "exit_ms", int64(times.Exit))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(times.Exit.Duration()))
	defer cancel()
	until := func(at clock.Millis) time.Duration { return time.Until(startedAt.Add(at.Duration())) }
	defer time.AfterFunc(until(times.LastSend), d.entry.EndDispatch).Stop()
	defer time.AfterFunc(until(times.Cut), d.entry.CancelRequests).Stop()
	d.stopping.Store(true)
	sleep(ctx, until(times.Drain))
	d.guard.Drain()
	d.fleet.setTargets(d.guard.Targets())
	var beside sync.WaitGroup
	if d.platform == nil {
		beside.Go(func() { d.rateSlots.releaseAll(ctx) })
	}
	sleep(ctx, until(times.Close))
	beside.Go(d.fleet.announceShutdown)
	d.callerConns.stop(ctx)
	if err := d.callers.ShutdownWithContext(ctx); err != nil {
		d.log.Warn("stop timed out: the remaining connections of callers are cut off", "error", err)
	}
	d.log.Info("callers served", "after_ms", time.Since(startedAt).Milliseconds())
	for !d.guard.IsIdle() && ctx.Err() == nil {
		time.Sleep(idlePollInterval)
	}
	d.awaitBeside(ctx, &beside)
	d.stopInner(ctx)
	d.log.Info("daemon stopped", "after_ms", time.Since(startedAt).Milliseconds())
}

// awaitBeside waits for the calls to the store and to peers, until ctx ends.
func (d *Daemon) awaitBeside(ctx context.Context, beside *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		beside.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.log.Warn("stop timed out: this daemon may still be listed in the fleet")
	}
}

// refuseWaiting regularly refuses this daemon's waiting requests that may not finish
// before its instance or its process stops.
func (d *Daemon) refuseWaiting(ctx context.Context) {
	runEvery(ctx, refuseWaitingTick, func() { d.entry.RefuseWaiting(d.clk.Now()) })
}

const (
	// refuseWaitingTick is the time between two checks of waiting requests.
	refuseWaitingTick = 250 * time.Millisecond
	idlePollInterval  = 20 * time.Millisecond
)

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// stopInner stops the inner server when its calls are done or ctx ends, then
// closes the peer connections and the operator server.
func (d *Daemon) stopInner(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.inner.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.inner.Stop()
	}
	d.peers.Close()
	if err := d.operator.ShutdownWithContext(ctx); err != nil {
		d.log.Debug("stop timed out: connections of operators are cut off", "error", err)
	}
}
