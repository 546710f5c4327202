package daemon

import (
	"context"
	"time"

	"chestnutlatch/clock"
)

// shutDown performs a planned stop: it drains the targets, waits for noticeSpan,
// answers the requests in progress, and closes the callers', inner and operator
// servers. On a platform it first accepts work for another targetWorkTime. It stops
// waiting at stop_timeout_ms minus exitMargin.
func (d *Daemon) shutDown() {
	startedAt := time.Now()
	d.log.Info("daemon is stopping", "timeout_ms", int64(d.cfg.StopTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), (d.cfg.StopTimeout - exitMargin).Duration())
	defer cancel()
	d.stopping.Store(true)
	if d.platform != nil {
		// The target on this instance is still working and can only be reached
		// through this daemon.
		sleep(ctx, targetWorkTime)
	}
	d.guard.Drain()
	d.fleet.setTargets(d.guard.Targets())
	if d.platform == nil {
		d.rateSlots.releaseAll(ctx)
	}
	d.waitForNotice(ctx)
	d.fleet.announceShutdown()
	cancelTimer := time.AfterFunc(time.Until(startedAt.Add((d.cfg.StopTimeout - callerCutMargin).Duration())), d.entry.CancelRequests)
	defer cancelTimer.Stop()
	d.callerConns.stop(ctx)
	if err := d.callers.ShutdownWithContext(ctx); err != nil {
		d.log.Warn("stop timed out: the remaining connections of callers are cut off", "error", err)
	}
	for !d.guard.IsIdle() && ctx.Err() == nil {
		time.Sleep(idlePollInterval)
	}
	d.stopInner(ctx)
	d.log.Info("daemon stopped")
}

// refuseWaiting regularly refuses this daemon's waiting requests once its target
// has been draining for DrainTime. Requests that start later may not finish before
// the instance stops.
func (d *Daemon) refuseWaiting(ctx context.Context) {
	runEvery(ctx, refuseWaitingTick, func() { d.entry.RefuseWaiting(d.clk.Now()) })
}

const (
	// refuseWaitingTick is the time between two checks of waiting requests.
	refuseWaitingTick = 250 * time.Millisecond
	idlePollInterval  = 20 * time.Millisecond
	// callerCutMargin is how long before the end of stop_timeout_ms the requests in
	// progress are canceled, so that their callers get a response before the
	// supervisor kills the process.
	callerCutMargin = clock.Second
	// exitMargin is the part of stop_timeout_ms that remains for the process to
	// exit before its supervisor kills it.
	exitMargin = 600 * clock.Millisecond
	// peerNoticeTime gives peers time to receive the draining state of the targets
	// before the callers' port closes.
	peerNoticeTime = 700 * time.Millisecond
	// targetWorkTime is how long the guard of a stopping daemon still accepts work
	// on a platform. It is a quarter of a stop timeout of 6 s, so that the accepted
	// work can finish.
	targetWorkTime = 1500 * time.Millisecond
	// readinessMissTime is the time after which two readiness checks of a stopping
	// daemon, a second apart, have failed and the platform sends no more callers.
	readinessMissTime = 2500 * time.Millisecond
)

// noticeSpan returns how long to wait after draining before the callers' port
// closes. On a platform, readinessMissTime began with the stop, so the time
// already spent in targetWorkTime is subtracted.
func (d *Daemon) noticeSpan() time.Duration {
	if d.platform != nil {
		return readinessMissTime - targetWorkTime
	}
	return peerNoticeTime
}

// waitForNotice waits for noticeSpan or until ctx ends.
func (d *Daemon) waitForNotice(ctx context.Context) {
	sleep(ctx, d.noticeSpan())
}

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
	_ = d.operator.Shutdown()
}
