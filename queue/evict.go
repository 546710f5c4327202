package queue

import "chestnutlatch/ident"

// reserveDivisor divides the limit of waiting jobs; the result is the reserve of
// each priority, in jobs.
const reserveDivisor = 8

// evictFor removes a waiting job to make room for j and returns its ID, or
// returns false if j must be refused. If another team has more waiting jobs for
// its weight than j's team would have with j, the team with the most loses the
// newest job of its lowest priority. Otherwise j's own team loses a job, if
// mayEvict allows it.
func (q *Queue) evictFor(j Job) (JobID, bool) {
	own := q.teams[j.Team]
	ownCount := 1.0
	if own != nil {
		ownCount += float64(own.count)
	}
	ownCount /= j.effectiveWeight()
	if team, tq := q.largestTeam(); tq != nil && team != j.Team && tq.countPerWeight() > ownCount {
		return q.removeNewest(tq, func(int) bool { return true })
	}
	if own == nil {
		return 0, false
	}
	return q.removeNewest(own, func(p int) bool { return q.mayEvict(p, int(j.Priority)) })
}

// mayEvict reports whether a waiting job of priority p may be removed for a new
// job of another priority of the same team. Each priority has a reserve: higher
// priorities cannot evict the jobs within it, and a priority below its reserve
// may evict jobs of higher ones.
func (q *Queue) mayEvict(p, newPriority int) bool {
	reserve := q.limit / reserveDivisor
	if q.priorityCounts[p] <= reserve || p == newPriority {
		return false
	}
	return p < newPriority || q.priorityCounts[newPriority] < reserve
}

// largestTeam returns the team with the most waiting jobs for its weight, or a
// nil queue if no job waits. Ties go to the team whose name sorts first.
func (q *Queue) largestTeam() (largest ident.Team, largestQueue *teamQueue) {
	most := 0.0
	for team, tq := range q.teams {
		if n := tq.countPerWeight(); n > most || n == most && n > 0 && team < largest {
			largest, largestQueue, most = team, tq, n
		}
	}
	return largest, largestQueue
}

// removeNewest removes the newest job of the lowest priority that allowed
// accepts and returns its ID, or false if there is none.
func (q *Queue) removeNewest(tq *teamQueue, allowed func(p int) bool) (JobID, bool) {
	for p := range tq.jobs {
		if n := len(tq.jobs[p]); n > 0 && allowed(p) {
			id := tq.jobs[p][n-1].ID
			q.remove(tq, p, n-1)
			return id, true
		}
	}
	return 0, false
}

// removeIf removes the waiting jobs that match and returns them.
func (q *Queue) removeIf(match func(Job) bool) []Job {
	var removed []Job
	for _, tq := range q.teams {
		for p := range tq.jobs {
			for i := len(tq.jobs[p]) - 1; i >= 0; i-- {
				if match(tq.jobs[p][i]) {
					removed = append(removed, tq.jobs[p][i])
					q.remove(tq, p, i)
				}
			}
		}
	}
	return removed
}
