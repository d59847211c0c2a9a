package manager

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// space is room on a machine, or a share of room.
type space struct{ cpus, gpus, mem float64 }

// Preempt stops work of lower priority for jobs that have waited longer than the
// operators allow and find no room. What is already being stopped counts as room.
func (m *Manager) Preempt(now micros.Time) {
	var needy []*job
	for _, id := range m.order {
		j := m.jobs[id]
		if j.over == "" && j.waiting > 0 && now >= j.notBefore && m.room(j) > 0 &&
			now.Sub(j.waitSince) > m.cfg.Tuning.PreemptAfter && (j.rec.Job.Priority() > 0 || m.guaranteed(j, space{})) {
			needy = append(needy, j)
		}
	}
	slices.SortStableFunc(needy, func(a, b *job) int { return cmp.Compare(b.rec.Job.Priority(), a.rec.Job.Priority()) })
	promised := map[string]space{}
	spaces := map[string]*space{}
	ids := slices.Sorted(maps.Keys(m.machines))
	for _, id := range ids {
		mc := m.machines[id]
		if !m.usable(now, mc) {
			continue
		}
		s := &space{}
		s.cpus, s.gpus, s.mem = m.free(mc)
		for _, a := range mc.attempts {
			if a.stop {
				s.cpus, s.gpus, s.mem = s.cpus+a.job.rec.Job.CPUs, s.gpus+a.job.rec.Job.GPUs, s.mem+a.job.rec.Job.MemoryGB
			}
		}
		spaces[id] = s
	}
	budget := 4
	for _, j := range needy {
		jb := &j.rec.Job
		fits := func(s *space) bool { return jb.CPUs <= s.cpus && jb.GPUs <= s.gpus && jb.MemoryGB <= s.mem }
		allowed := func(id string) bool {
			mc := m.machines[id]
			return jb.Allows(mc.spec, mc.zone, mc.spot) && m.zoneAllows(j, mc.zone) && j.failed[id] == 0
		}
		take := func(s *space) {
			s.cpus, s.gpus, s.mem = s.cpus-jb.CPUs, s.gpus-jb.GPUs, s.mem-jb.MemoryGB
			p := promised[jb.Team]
			promised[jb.Team] = space{p.cpus + jb.CPUs, p.gpus + jb.GPUs, p.mem + jb.MemoryGB}
		}
	tasks:
		for range min(j.waiting, m.room(j), 64) {
			for _, id := range ids {
				if s := spaces[id]; s != nil && allowed(id) && fits(s) {
					take(s)
					continue tasks
				}
			}
			if budget == 0 {
				return
			}
			best, bestLoss := "", micros.Forever
			for _, id := range ids {
				s := spaces[id]
				if s == nil || !allowed(id) {
					continue
				}
				if v, loss := m.victim(now, id, j, promised[jb.Team]); v != nil && loss < bestLoss {
					vb := &v.job.rec.Job
					if fits(&space{s.cpus + vb.CPUs, s.gpus + vb.GPUs, s.mem + vb.MemoryGB}) {
						best, bestLoss = id, loss
					}
				}
			}
			if best == "" {
				break
			}
			v, _ := m.victim(now, best, j, promised[jb.Team])
			s, vb := spaces[best], v.job.rec.Job
			s.cpus, s.gpus, s.mem = s.cpus+vb.CPUs, s.gpus+vb.GPUs, s.mem+vb.MemoryGB
			take(s)
			grace := 0.0
			if vb.CheckpointS > 0 {
				grace = vb.SaveS + 1
			}
			m.note("task makes room for more urgent work", "task", wire.TaskName(vb.ID, v.task), "machine", best, "for", jb.ID)
			m.stop(now, v, grace)
			budget--
		}
	}
}

// guaranteed tells whether the team's guarantee covers another task of the job, beside
// what has been promised to the team in this round.
func (m *Manager) guaranteed(j *job, promised space) bool {
	t, jb := m.teams[j.rec.Job.Team], &j.rec.Job
	return t != nil && t.CPUs+t.GPUs > 0 && t.cpus+promised.cpus+jb.CPUs <= t.CPUs && t.gpus+promised.gpus+jb.GPUs <= t.GPUs
}

// displaces tells whether a job may displace another's task: one of lower priority, or
// one that another team runs beyond its own guarantee where the job's team has not
// got its own.
func (m *Manager) displaces(j, other *job, promised space) bool {
	if other.rec.Job.Priority() < j.rec.Job.Priority() {
		return true
	}
	t, ob := m.teams[other.rec.Job.Team], &other.rec.Job
	return other.rec.Job.Team != j.rec.Job.Team && m.guaranteed(j, promised) && t != nil &&
		(t.cpus-ob.CPUs >= t.CPUs && ob.CPUs > 0 || t.gpus-ob.GPUs >= t.GPUs && ob.GPUs > 0)
}

// victim is the task on a machine that a job may displace and that loses least.
func (m *Manager) victim(now micros.Time, id string, j *job, promised space) (*attempt, micros.Span) {
	var best *attempt
	bestLoss := micros.Forever
	for _, a := range sorted(m.machines[id].attempts) {
		jb := &a.job.rec.Job
		if a.stop || !m.displaces(j, a.job, promised) {
			continue
		}
		loss := micros.Span(0)
		if a.state == wire.TaskRunning {
			loss = now.Sub(a.runSince)
			if jb.CheckpointS > 0 {
				loss = micros.Seconds(jb.SaveS)
			} else {
				continue // its work would be lost
			}
		}
		if loss < bestLoss {
			best, bestLoss = a, loss
		}
	}
	return best, bestLoss
}
