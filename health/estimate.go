package health

import (
	"math"

	"chestnutlatch/clock"
)

// FailureModel describes how targets of a service fail: in episodes with a high
// failure rate, with only ordinary errors between them.
type FailureModel struct {
	// MeanGap is the mean time between the end of an episode and the start of
	// the next one, in milliseconds.
	MeanGap clock.Millis
	// MeanEpisode is the mean length of an episode, in milliseconds.
	MeanEpisode clock.Millis
	// EpisodeFailureRate and NormalFailureRate are the shares of requests that
	// fail during and between episodes, 0 to 1.
	EpisodeFailureRate float64
	NormalFailureRate  float64
}

// DefaultFailureModel returns a model of targets that fail for several seconds at a
// time and otherwise have ordinary errors in one or two of 100 requests.
func DefaultFailureModel() FailureModel {
	return FailureModel{MeanGap: 18 * clock.Second, MeanEpisode: 6 * clock.Second, EpisodeFailureRate: 0.75, NormalFailureRate: 0.02}
}

// Prior returns the probability that a target without recent samples is in a
// failure episode: the long-run share of time spent in episodes.
func (m FailureModel) Prior() float64 {
	return float64(m.MeanEpisode) / float64(m.MeanEpisode+m.MeanGap)
}

// Decay moves the probability p towards the prior for a time span without
// samples, in milliseconds. A span of 0 or less returns p unchanged.
func (m FailureModel) Decay(p float64, span clock.Millis) float64 {
	if span <= 0 {
		return p
	}
	rate := 1/float64(m.MeanEpisode) + 1/float64(m.MeanGap)
	return m.Prior() + (p-m.Prior())*math.Exp(-rate*float64(span))
}

// FailureEstimate estimates the probability that a target is in a failure episode, with
// a two-state Bayesian filter. At one request per second a window holds too few
// samples, but a single failure is strong evidence when ordinary errors are
// rare. It is not safe for concurrent use.
type FailureEstimate struct {
	model FailureModel
	// p is the probability at the time at, 0 to 1.
	p  float64
	at clock.Millis
}

// NewFailureEstimate returns an estimate that starts at the model's prior.
func NewFailureEstimate(m FailureModel, now clock.Millis) *FailureEstimate {
	return &FailureEstimate{model: m, p: m.Prior(), at: now}
}

// At returns the probability at the given time, 0 to 1.
func (e *FailureEstimate) At(now clock.Millis) float64 {
	return e.model.Decay(e.p, now-e.at)
}

// Model returns the failure model of the filter.
func (e *FailureEstimate) Model() FailureModel { return e.model }

// Observe updates the estimate with the result of one request. It ignores
// canceled requests.
func (e *FailureEstimate) Observe(s Sample) {
	if s.Result == ResultCanceled {
		return
	}
	p := e.At(s.At)
	inEpisode, normal := 1-e.model.EpisodeFailureRate, 1-e.model.NormalFailureRate
	if s.Result.IsFailure() {
		inEpisode, normal = e.model.EpisodeFailureRate, e.model.NormalFailureRate
	}
	e.p = p * inEpisode / (p*inEpisode + (1-p)*normal)
	e.at = s.At
}
