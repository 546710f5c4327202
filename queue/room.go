package queue

import "chestnutlatch/ident"

// reservedPart is the part of the waiting places, one in reservedPart, that
// each priority keeps.
const reservedPart = 8

// makeRoom drops a job of the team that holds most places: its newest one of
// its lowest priority. If that is the new job's own team, the team's other
// priorities make room.
func (q *Queue) makeRoom(j Job) (JobID, bool) {
	own := q.lines[j.Team]
	mine := 1.0
	if own != nil {
		mine += float64(own.count)
	}
	mine /= j.part()
	if team, l := q.longest(); l != nil && team != j.Team && l.share() > mine {
		return q.dropNewest(l, func(int) bool { return true })
	}
	if own == nil {
		return 0, false
	}
	return q.dropNewest(own, func(p int) bool { return q.yields(p, int(j.Priority)) })
}

// yields reports whether a waiting job of priority p makes room for one of
// priority to. Every priority keeps its reserve of places: no higher one
// takes it, and a lower one gets it back.
func (q *Queue) yields(p, to int) bool {
	reserve := q.limit / reservedPart
	if q.counts[p] <= reserve || p == to {
		return false
	}
	return p < to || q.counts[to] < reserve
}

// longest returns the team that holds most places for its part, or no line.
func (q *Queue) longest() (best ident.Team, longest *line) {
	most := 0.0
	for team, l := range q.lines {
		if s := l.share(); s > most || s == most && s > 0 && team < best {
			best, longest, most = team, l, s
		}
	}
	return best, longest
}

// dropNewest drops the newest job of the lowest priority that may go.
func (q *Queue) dropNewest(l *line, may func(p int) bool) (JobID, bool) {
	for p := range l.jobs {
		if n := len(l.jobs[p]); n > 0 && may(p) {
			id := l.jobs[p][n-1].ID
			q.take(l, p, n-1)
			return id, true
		}
	}
	return 0, false
}

func (q *Queue) dropIf(match func(Job) bool) []Job {
	var dropped []Job
	for _, l := range q.lines {
		for p := range l.jobs {
			for k := len(l.jobs[p]) - 1; k >= 0; k-- {
				if match(l.jobs[p][k]) {
					dropped = append(dropped, l.jobs[p][k])
					q.take(l, p, k)
				}
			}
		}
	}
	return dropped
}
