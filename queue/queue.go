// Package queue schedules the requests to one target, which serves a fixed
// number of them at once. When all slots are taken, requests wait in a bounded
// queue, and virtual time shares the slots between teams and priorities by
// weight. The guard calls it on arrivals, completions and deadlines and carries
// out the effects it returns; the package does no I/O.
package queue

import (
	"math"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// priorityCount is the number of defined priorities.
const priorityCount = int(ident.PriorityUrgent) + 1

// priorityWeights are the relative shares of the slots that priorities with
// waiting jobs get, lowest priority first.
var priorityWeights = [priorityCount]float64{1, 4, 16, 64}

// rankWeights multiply a team's weight, by rank, starting with rank 0. Ranks
// beyond the table use the last entry.
var rankWeights = [...]float64{16, 4, 1}

// maxLead is the number of its own requests by which a team may be ahead of the
// least served team. Teams within this lead are scheduled by rank and priority;
// a team beyond it waits.
const maxLead = 4

// JobID identifies a job. It must be unique among the waiting jobs of a queue.
type JobID uint64

// Job is one request that needs a slot.
type Job struct {
	ID   JobID
	Team ident.Team
	// Priority must be one of the priorities that ident defines.
	Priority ident.Priority
	// Weight is the team's share relative to other teams of its rank. 0 counts
	// as 1.
	Weight uint32
	// Rank is the team's rank. 0 is served first. The rank takes precedence
	// over the priority.
	Rank uint32
	// Deadline is the time from which the job is refused instead of started.
	Deadline clock.Millis
	// StartBy is the latest start time at which the request can still be answered
	// in time; 0 means that only Deadline applies. Jobs past this time start
	// after all others, whatever their rank and priority, because a late answer
	// has lost most of its value.
	StartBy clock.Millis
}

// effectiveWeight returns the team's share relative to all other teams.
func (j Job) effectiveWeight() float64 {
	return float64(max(j.Weight, 1)) * rankWeights[min(int(j.Rank), len(rankWeights)-1)]
}

// isLate reports whether it is too late to answer the job in time.
func (j Job) isLate(now clock.Millis) bool { return j.StartBy > 0 && now > j.StartBy }

// Effect is an action that the caller must carry out: Start or Refuse.
type Effect interface {
	effect()
}

// Start gives a slot to a job. The caller must call Done when the job ends.
type Start struct {
	ID JobID
}

// Refuse ends a job that has not started.
type Refuse struct {
	ID   JobID
	Kind fault.Kind
}

func (Start) effect()  {}
func (Refuse) effect() {}

// teamQueue holds the waiting jobs of one team.
type teamQueue struct {
	// jobs holds the jobs of each priority in order of arrival.
	jobs [priorityCount][]Job
	// count is the number of jobs of all priorities.
	count int
	// weight is the effective weight of the newest job, rank its rank.
	weight float64
	rank   uint32
	// virtualTime grows by 1/weight with each job that starts.
	virtualTime float64
}

// countPerWeight returns the number of waiting jobs divided by the weight.
func (tq *teamQueue) countPerWeight() float64 { return float64(tq.count) / tq.weight }

// Queue shares the slots of one target. It is not safe for concurrent use.
type Queue struct {
	// slots is the number of jobs that may run at once, at least 1.
	slots int
	// limit is the number of jobs that may wait.
	limit   int
	running int
	waiting int
	teams   map[ident.Team]*teamQueue
	// teamBaseTime is the virtual time of the least served team when a job was
	// last taken from the queue. A team that was idle starts from it.
	teamBaseTime float64
	// priorityTimes holds the virtual time of each priority, priorityCounts the
	// number of its waiting jobs.
	priorityTimes  [priorityCount]float64
	priorityCounts [priorityCount]int
	// priorityBaseTime is the virtual time of the priority served last, as it
	// was before that job was taken. A priority that was idle starts from it.
	priorityBaseTime float64
}

// New returns an empty queue for a target with the given number of slots, in
// which up to limit jobs may wait. A number of slots below 1 counts as 1.
func New(slots, limit int) *Queue {
	return &Queue{slots: max(slots, 1), limit: limit, teams: map[ident.Team]*teamQueue{}}
}

// Running returns the number of started jobs.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting jobs.
func (q *Queue) Waiting() int { return q.waiting }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Offer adds a job. The effects may start or refuse this job or jobs that were
// already waiting; the job waits if none of them names it. When the queue is
// full, the new job either replaces a waiting one or is refused.
func (q *Queue) Offer(now clock.Millis, j Job) []Effect {
	effects := q.Expire(now)
	if now >= j.Deadline {
		return append(effects, Refuse{ID: j.ID, Kind: fault.DeadlineExceeded})
	}
	if q.running < q.slots && q.waiting == 0 {
		q.running++
		return append(effects, Start{ID: j.ID})
	}
	if q.waiting >= q.limit {
		evicted, ok := q.evictFor(j)
		if !ok {
			return append(effects, Refuse{ID: j.ID, Kind: fault.QueueFull})
		}
		effects = append(effects, Refuse{ID: evicted, Kind: fault.QueueFull})
	}
	q.enqueue(j)
	return append(effects, q.startWaiting(now)...)
}

// Done frees the slot of a finished job, refuses expired jobs and starts the
// next one. It must be called once for each job that started.
func (q *Queue) Done(now clock.Millis) []Effect {
	q.running--
	effects := q.Expire(now)
	return append(effects, q.startWaiting(now)...)
}

// CountAhead estimates the number of waiting jobs that start before a new job
// that is not late. It counts the jobs that are not late and precede or equal
// the new one in rank and priority, and ignores the shares of the teams.
func (q *Queue) CountAhead(now clock.Millis, j Job) int {
	n := 0
	for _, tq := range q.teams {
		if tq.rank > j.Rank {
			continue
		}
		lowest := int(j.Priority)
		if tq.rank < j.Rank {
			lowest = 0
		}
		for p := lowest; p < priorityCount; p++ {
			for _, waiting := range tq.jobs[p] {
				if !waiting.isLate(now) {
					n++
				}
			}
		}
	}
	return n
}

// Cancel removes a waiting job and reports whether the job was waiting.
func (q *Queue) Cancel(id JobID) bool {
	return q.removeIf(func(j Job) bool { return j.ID == id }) != nil
}

// Expire refuses the waiting jobs whose deadline is now or has passed, with
// fault.DeadlineExceeded.
func (q *Queue) Expire(now clock.Millis) []Effect {
	var effects []Effect
	for _, j := range q.removeIf(func(j Job) bool { return now >= j.Deadline }) {
		effects = append(effects, Refuse{ID: j.ID, Kind: fault.DeadlineExceeded})
	}
	return effects
}

// Flush refuses all waiting jobs with kind k. Running jobs continue.
func (q *Queue) Flush(k fault.Kind) []Effect {
	var effects []Effect
	for _, j := range q.removeIf(func(Job) bool { return true }) {
		effects = append(effects, Refuse{ID: j.ID, Kind: k})
	}
	return effects
}

// enqueue appends a job to its team's queue. A team or priority that was idle
// starts from the base time and gets no credit for the time it was idle.
func (q *Queue) enqueue(j Job) {
	tq := q.teams[j.Team]
	if tq == nil {
		tq = &teamQueue{virtualTime: q.teamBaseTime}
		q.teams[j.Team] = tq
	}
	if tq.count == 0 {
		tq.virtualTime = max(tq.virtualTime, q.teamBaseTime)
	}
	if q.priorityCounts[j.Priority] == 0 {
		q.priorityTimes[j.Priority] = max(q.priorityTimes[j.Priority], q.priorityBaseTime)
	}
	tq.weight, tq.rank = j.effectiveWeight(), j.Rank
	tq.jobs[j.Priority] = append(tq.jobs[j.Priority], j)
	tq.count++
	q.priorityCounts[j.Priority]++
	q.waiting++
}

// startWaiting starts waiting jobs while slots are free, late jobs last.
func (q *Queue) startWaiting(now clock.Millis) []Effect {
	var effects []Effect
	for q.running < q.slots && q.waiting > 0 {
		j, ok := q.popNext(func(j Job) bool { return !j.isLate(now) })
		if !ok {
			j, _ = q.popNext(func(Job) bool { return true })
		}
		q.running++
		effects = append(effects, Start{ID: j.ID})
	}
	return effects
}

// popNext removes and returns the next job to start among those that match. It
// considers only the teams that are not ahead of their share, and of these only
// those with the lowest rank number. Among their jobs it picks the priority with
// the lowest virtual time, and within it the least served team.
func (q *Queue) popNext(match func(Job) bool) (Job, bool) {
	lowest := q.minVirtualTime(match)
	if math.IsInf(lowest, 1) {
		return Job{}, false
	}
	q.teamBaseTime = lowest
	q.removeIdleTeams()
	best := -1
	var team ident.Team
	rank := q.firstRank(match)
	for p := priorityCount - 1; p >= 0; p-- {
		t, ok := q.leastServed(p, rank, match)
		if ok && (best < 0 || q.priorityTimes[p] < q.priorityTimes[best]) {
			best, team = p, t
		}
	}
	q.priorityBaseTime = q.priorityTimes[best]
	q.priorityTimes[best] += 1 / priorityWeights[best]
	tq := q.teams[team]
	i := tq.firstMatch(best, match)
	j := tq.jobs[best][i]
	tq.virtualTime += 1 / tq.weight
	q.remove(tq, best, i)
	return j, true
}

// firstMatch returns the index of the oldest job of priority p that matches, or
// -1 if there is none.
func (tq *teamQueue) firstMatch(p int, match func(Job) bool) int {
	for i, j := range tq.jobs[p] {
		if match(j) {
			return i
		}
	}
	return -1
}

// minVirtualTime returns the lowest virtual time of the teams that have a job
// that matches, or infinity if there is none.
func (q *Queue) minVirtualTime(match func(Job) bool) float64 {
	lowest := math.Inf(1)
	for _, tq := range q.teams {
		for p := range tq.jobs {
			if tq.firstMatch(p, match) >= 0 {
				lowest = min(lowest, tq.virtualTime)
			}
		}
	}
	return lowest
}

// removeIdleTeams removes the teams that have no waiting jobs and whose virtual
// time the other teams have reached. A team that is still ahead is kept, so
// that its lead counts when its next job arrives.
func (q *Queue) removeIdleTeams() {
	for team, tq := range q.teams {
		if tq.count == 0 && tq.virtualTime <= q.teamBaseTime {
			delete(q.teams, team)
		}
	}
}

// isAheadOfShare reports whether a team is more than maxLead ahead of the least
// served one.
func (q *Queue) isAheadOfShare(tq *teamQueue) bool {
	return tq.virtualTime > q.teamBaseTime+maxLead/tq.weight
}

// firstRank returns the lowest rank number among the teams that have a job that
// matches and are not ahead of their share.
func (q *Queue) firstRank(match func(Job) bool) uint32 {
	rank := uint32(math.MaxUint32)
	for _, tq := range q.teams {
		if tq.rank >= rank || q.isAheadOfShare(tq) {
			continue
		}
		for p := range tq.jobs {
			if tq.firstMatch(p, match) >= 0 {
				rank = tq.rank
			}
		}
	}
	return rank
}

// leastServed returns the team with the lowest virtual time among the teams of
// the given rank that have a matching job of priority p and are not ahead of
// their share. Ties go to the team whose name sorts first.
func (q *Queue) leastServed(p int, rank uint32, match func(Job) bool) (best ident.Team, found bool) {
	for team, tq := range q.teams {
		if tq.rank != rank || tq.firstMatch(p, match) < 0 || q.isAheadOfShare(tq) {
			continue
		}
		if !found || tq.virtualTime < q.teams[best].virtualTime || tq.virtualTime == q.teams[best].virtualTime && team < best {
			best, found = team, true
		}
	}
	return best, found
}

// remove deletes the job at index i of priority p from a team's queue.
func (q *Queue) remove(tq *teamQueue, p, i int) {
	tq.jobs[p] = append(tq.jobs[p][:i:i], tq.jobs[p][i+1:]...)
	tq.count--
	q.priorityCounts[p]--
	q.waiting--
}
