package daemon

import (
	"context"
	"time"

	"chestnutlatch/clock"
)

// leave is the planned stop.
func (d *Daemon) leave() {
	began := time.Now()
	d.log.Info("daemon is stopping", "timeout_ms", int64(d.cfg.StopTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), (d.cfg.StopTimeout - stopMargin).Duration())
	defer cancel()
	d.stopping.Store(true)
	if d.platform != nil {
		// The target beside works on, and nobody else can reach it.
		pause(ctx, lastWork)
	}
	d.guard.Drain()
	d.fleet.setTargets(d.guard.Infos())
	if d.platform == nil {
		d.slots.release(ctx)
	}
	d.settle(ctx)
	d.fleet.leave()
	cut := time.AfterFunc(time.Until(began.Add((d.cfg.StopTimeout - stopCut).Duration())), d.entry.Cut)
	defer cut.Stop()
	if err := d.callers.ShutdownWithContext(ctx); err != nil {
		d.log.Warn("callers were cut off", "error", err)
	}
	for !d.guard.IsIdle() && ctx.Err() == nil {
		time.Sleep(leaveStep)
	}
	d.stopInner(ctx)
	d.log.Info("daemon stopped")
}

// endWaits ends the waits of this daemon's requests in time before the instance
// goes with its target.
func (d *Daemon) endWaits(ctx context.Context) {
	every(ctx, endWaitsTick, func() { d.entry.EndWaits(d.clk.Now()) })
}

const (
	// endWaitsTick is the time between two looks whether waits must end.
	endWaitsTick = 250 * time.Millisecond
	leaveStep    = 20 * time.Millisecond
	// stopCut is how long before the supervisor kills the process the callers
	// that still wait are answered.
	stopCut = clock.Second
	// stopMargin is the part of stop_timeout_ms that is left for the process
	// to end before its supervisor kills it.
	stopMargin = 600 * clock.Millisecond
	// settleTime lets peers learn that the targets take no new work before
	// the callers' port closes.
	settleTime = 700 * time.Millisecond
	// lastWork is how long the guard of a stopping daemon takes work: a quarter
	// of the usual time to stop, so that what it took can end.
	lastWork = 1500 * time.Millisecond
	// missedQuestions is the time in which the platform misses a stopping
	// daemon's readiness twice and sends no more callers.
	missedQuestions = 2500 * time.Millisecond
)

// settleSpan is longer where callers learn of the stop by two missed questions,
// a second apart; it began with the stop.
func (d *Daemon) settleSpan() time.Duration {
	if d.platform != nil {
		return missedQuestions - lastWork
	}
	return settleTime
}

func (d *Daemon) settle(ctx context.Context) {
	pause(ctx, d.settleSpan())
}

// pause waits for a span or until ctx ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// stopInner ends the inner server when its calls are done or time is over.
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
