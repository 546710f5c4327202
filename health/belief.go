package health

import (
	"math"

	"chestnutlatch/clock"
)

// Model says how targets of a service fail: in spells, between which only
// ordinary errors happen.
type Model struct {
	// Onset is the mean time between the end of a spell and the next one, in
	// milliseconds.
	Onset clock.Millis
	// Spell is the mean length of a spell, in milliseconds.
	Spell clock.Millis
	// FailsInSpell and FailsWell are the shares of requests that fail, 0 to 1.
	FailsInSpell float64
	FailsWell    float64
}

// DefaultModel suits targets that fail for several seconds at a time, with
// ordinary errors of one or two in a hundred.
func DefaultModel() Model {
	return Model{Onset: 18 * clock.Second, Spell: 6 * clock.Second, FailsInSpell: 0.75, FailsWell: 0.02}
}

// Prior is the belief about a target of which nothing was seen lately.
func (m Model) Prior() float64 {
	return float64(m.Spell) / float64(m.Spell+m.Onset)
}

// Decay moves a belief towards the prior over a span without evidence.
func (m Model) Decay(p float64, span clock.Millis) float64 {
	if span <= 0 {
		return p
	}
	rate := 1/float64(m.Spell) + 1/float64(m.Onset)
	return m.Prior() + (p-m.Prior())*math.Exp(-rate*float64(span))
}

// Belief is the probability that a target is in a spell, kept by two
// hypotheses: at one request a second a window holds too few samples, while a
// single failure is strong evidence when ordinary errors are rare.
type Belief struct {
	model Model
	// p is the belief at the time at, 0 to 1.
	p  float64
	at clock.Millis
}

// NewBelief returns a belief at the model's prior.
func NewBelief(m Model, now clock.Millis) *Belief {
	return &Belief{model: m, p: m.Prior(), at: now}
}

// At returns the belief at a time.
func (b *Belief) At(now clock.Millis) float64 {
	return b.model.Decay(b.p, now-b.at)
}

// Model returns the model that the belief is kept by.
func (b *Belief) Model() Model { return b.model }

// Observe takes in one request's end.
func (b *Belief) Observe(s Sample) {
	if s.Result == ResultCanceled {
		return
	}
	p := b.At(s.At)
	inSpell, well := 1-b.model.FailsInSpell, 1-b.model.FailsWell
	if s.Result.IsFailure() {
		inSpell, well = b.model.FailsInSpell, b.model.FailsWell
	}
	b.p = p * inSpell / (p*inSpell + (1-p)*well)
	b.at = s.At
}
