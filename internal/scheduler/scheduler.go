// Package scheduler is the framework scheduler: every controller runs one for the
// teams that the leader has assigned to it. It decides by the design's ordinary path
// (docs/design.md): cached images first, waiting for leases that end soon, and the
// bounded skip of jobs below the minimum locality level.
//
// It is a state machine without I/O and without a clock, owned by one goroutine.
package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// Scheduler places the tasks of its teams' jobs.
type Scheduler struct {
	member  string
	tuning  settings.Tuning
	types   map[string]wire.MachineType
	rates   map[string]float64 // fetch rate by zone, GB/s
	view    *manager.View
	viewAt  micros.Time
	order   []*machine
	queue   []*manager.JobView
	next    int
	skipped map[string]micros.Time // since when a job is below the minimum level
	runs    map[string]*history    // by job
	after   uint64                 // views below this version do not show our grants
}

type history struct {
	byMachine map[string][]micros.Span
	newest    []micros.Span
}

// machine is the scheduler's own copy of a machine; the view is shared with others.
type machine struct {
	manager.MachineView
	typ      wire.MachineType
	claimed  map[uint64]bool // leases whose waiter's place we have taken in this view
	fetching map[string]bool // images that our grants make it fetch
}

// New makes a scheduler for a controller.
func New(member string, t settings.Tuning) *Scheduler {
	return &Scheduler{member: member, tuning: t, skipped: map[string]micros.Time{}, runs: map[string]*history{}}
}

// SetTypes tells the scheduler what machines there are. The fetch rate of a zone is
// fixed: that of the slowest type offered there.
func (s *Scheduler) SetTypes(types []wire.MachineType) {
	s.types, s.rates = map[string]wire.MachineType{}, map[string]float64{}
	for _, t := range types {
		s.types[t.Name] = t
		for _, z := range t.Zones {
			if r, ok := s.rates[z]; t.FetchGBPS > 0 && (!ok || t.FetchGBPS < r) {
				s.rates[z] = t.FetchGBPS
			}
		}
	}
}

// Granted says that what was asked for shows from this version of the view on.
func (s *Scheduler) Granted(version uint64) { s.after = max(s.after, version) }

// View takes a new view; a round of decisions on it follows with Round.
func (s *Scheduler) View(now micros.Time, v *manager.View) {
	if s.view != nil && s.view.Token != v.Token {
		s.after = 0
	}
	for _, f := range v.Finished {
		if v.Assign[f.Team] == s.member {
			s.learn(f)
		}
	}
	if v.Version < s.after {
		return
	}
	from := ""
	if s.next < len(s.queue) {
		from = s.queue[s.next].ID
	}
	s.view, s.viewAt = v, now
	s.order, s.queue, s.next = nil, nil, 0
	for i := range v.Machines {
		mv := v.Machines[i]
		m := &machine{MachineView: mv, typ: s.types[mv.Type], claimed: map[uint64]bool{}, fetching: map[string]bool{}}
		s.order = append(s.order, m)
	}
	open := map[string]bool{}
	for i := range v.Jobs {
		j := v.Jobs[i]
		open[j.ID] = true
		if v.Assign[j.Team] == s.member && j.Waiting > 0 && j.Room > 0 {
			j.InZone = maps.Clone(j.InZone)
			s.queue = append(s.queue, &j)
		} else {
			delete(s.skipped, j.ID)
		}
	}
	for id := range s.skipped {
		if !open[id] {
			delete(s.skipped, id)
		}
	}
	for id := range s.runs {
		if !open[id] {
			delete(s.runs, id)
		}
	}
	slices.SortStableFunc(s.queue, func(a, b *manager.JobView) int {
		if a.Priority != b.Priority {
			return cmp.Compare(b.Priority, a.Priority)
		}
		return cmp.Compare(s.laxity(a), s.laxity(b))
	})
	// A round that ran out of time goes on where it stopped.
	if i := slices.IndexFunc(s.queue, func(j *manager.JobView) bool { return j.ID == from }); i > 0 {
		s.queue = slices.Concat(s.queue[i:], s.queue[:i])
	}
}

// laxity orders jobs within a priority: by the time that is left beyond their run.
// Jobs that can't make it any more come after those that can.
func (s *Scheduler) laxity(j *manager.JobView) micros.Span {
	left := j.Due - s.expected(j.ID, "", j.Estimate)
	if j.Due == micros.Forever {
		return micros.Forever/2 - j.Age
	}
	if left < 0 {
		return micros.Forever/4 + j.Age
	}
	return left
}

func (s *Scheduler) learn(f manager.Finished) {
	h := s.runs[f.Job]
	if h == nil {
		h = &history{byMachine: map[string][]micros.Span{}}
		s.runs[f.Job] = h
	}
	keep := func(list []micros.Span) []micros.Span {
		list = append(list, f.Run)
		return list[max(0, len(list)-s.tuning.History):]
	}
	h.byMachine[f.Machine] = keep(h.byMachine[f.Machine])
	h.newest = keep(h.newest)
}

// expected is the mean of the newest run times of the job's tasks on the machine,
// or else on any; without any, the given one.
func (s *Scheduler) expected(job, machine string, otherwise micros.Span) micros.Span {
	h := s.runs[job]
	if h == nil {
		return otherwise
	}
	list := h.byMachine[machine]
	if len(list) == 0 {
		list = h.newest
	}
	sum := micros.Span(0)
	for _, r := range list {
		sum += r
	}
	return sum / micros.Span(len(list))
}

func (s *Scheduler) fetchTime(j *manager.JobView, zone string) micros.Span {
	r := s.rates[zone]
	if r <= 0 {
		return 0
	}
	return micros.Seconds(j.ImageGB / r)
}

// lease is the design's lease time: fetch, mean run time, slack.
func (s *Scheduler) lease(j *manager.JobView, m *machine, cold bool) micros.Span {
	if s.runs[j.ID] == nil {
		return s.tuning.FirstLease
	}
	l := s.expected(j.ID, m.ID, 0) + s.tuning.Slack
	if cold {
		l += s.fetchTime(j, m.Zone)
	}
	return l
}

// Round makes the lease requests that the view allows, until spent says that the
// round's time is over; the next call goes on from there.
func (s *Scheduler) Round(now micros.Time, spent func() bool) []manager.Request {
	var out []manager.Request
	if !s.Current() {
		return nil
	}
	for ; s.next < len(s.queue); s.next++ {
		if spent() {
			return out
		}
		if asks := s.job(now, s.queue[s.next]); len(asks) > 0 {
			out = append(out, manager.Request{Asks: asks, All: s.queue[s.next].Gang})
		}
	}
	return out
}

// Current tells whether the view shows all that has been granted.
func (s *Scheduler) Current() bool { return s.view != nil && s.view.Version >= s.after }

// Unfinished tells whether the last round stopped for lack of time.
func (s *Scheduler) Unfinished() bool { return s.next < len(s.queue) }

// most is the largest number of tasks of one job placed in one round.
const most = 256

type choice struct {
	m     *machine
	wait  uint64
	local bool
	cold  bool
}

// job decides on one job's waiting tasks.
func (s *Scheduler) job(now micros.Time, j *manager.JobView) []manager.Ask {
	var picked []choice
	local := 0
	if j.OneZone && len(j.InZone) == 0 {
		s.settleZone(j)
	}
	for range min(j.Waiting, j.Room, most) {
		c, ok := s.pick(j)
		if !ok || j.Gang && c.wait != 0 {
			break
		}
		if c.wait == 0 {
			c.m.CPUs -= j.CPUs
			c.m.GPUs -= j.GPUs
			c.m.MemoryGB -= j.MemoryGB
			if j.InZone != nil {
				j.InZone[c.m.Zone]++
			}
		} else {
			c.m.claimed[c.wait] = true
		}
		if c.local {
			local++
		}
		picked = append(picked, c)
	}
	if len(picked) == 0 {
		return nil
	}
	partial := j.Gang && (len(picked) < j.Waiting || j.Active > 0)
	if partial || float64(local) < s.tuning.MinLocality*float64(len(picked)) && s.skip(now, j) {
		for _, c := range picked {
			if c.wait == 0 {
				c.m.CPUs += j.CPUs
				c.m.GPUs += j.GPUs
				c.m.MemoryGB += j.MemoryGB
				if j.InZone != nil {
					j.InZone[c.m.Zone]--
				}
			} else {
				delete(c.m.claimed, c.wait)
			}
		}
		return nil
	}
	delete(s.skipped, j.ID)
	var asks []manager.Ask
	for _, c := range picked {
		if c.cold {
			c.m.fetching[j.Image] = true
		}
		if c.wait != 0 {
			asks = append(asks, manager.Ask{Job: j.ID, Machine: c.m.ID, Wait: c.wait})
			continue
		}
		j.Waiting--
		if n := len(asks); n > 0 && asks[n-1].Machine == c.m.ID && asks[n-1].Wait == 0 {
			asks[n-1].Count++
			continue
		}
		asks = append(asks, manager.Ask{Job: j.ID, Machine: c.m.ID, Count: 1, Lease: s.lease(j, c.m, c.cold)})
	}
	return asks
}

// settleZone chooses the zone of a job that wants all its tasks in one: where most of
// them find room now.
func (s *Scheduler) settleZone(j *manager.JobView) {
	room := map[string]int{}
	best := ""
	for _, m := range s.order {
		if !m.Usable || !s.allows(j, m) {
			continue
		}
		n := j.Waiting
		for _, x := range []struct{ free, each float64 }{{m.CPUs, j.CPUs}, {m.GPUs, j.GPUs}, {m.MemoryGB, j.MemoryGB}} {
			if x.each > 0 {
				n = min(n, int(x.free/x.each+1e-9))
			}
		}
		room[m.Zone] += n
		if best == "" || room[m.Zone] > room[best] {
			best = m.Zone
		}
	}
	if best != "" {
		// Tasks elsewhere are ruled out for this view; the leader checks again.
		j.InZone = map[string]int{best: 1}
	}
}

// skip tells whether a job below the minimum level is passed over. The exception to
// the design (docs/design.md): it is not, once nothing that the skip waits for can
// come: no machine with the image has a lease that ends within what is left of it.
func (s *Scheduler) skip(now micros.Time, j *manager.JobView) bool {
	since, ok := s.skipped[j.ID]
	if !ok {
		since = now
		s.skipped[j.ID] = now
	}
	left := s.tuning.Skip - now.Sub(since)
	if left <= 0 {
		return false
	}
	for _, m := range s.order {
		if !m.Usable || !slices.Contains(m.Images, j.Image) || !s.allows(j, m) {
			continue
		}
		for _, l := range m.Leases {
			if l.EndsIn <= left && l.EndsIn > -s.tuning.Grace && s.fitsAfter(j, m, l) {
				return true
			}
		}
	}
	return false
}

func (s *Scheduler) allows(j *manager.JobView, m *machine) bool {
	if j.ZoneMax > 0 && j.InZone[m.Zone] >= j.ZoneMax || j.OneZone && len(j.InZone) > 0 && j.InZone[m.Zone] == 0 {
		return false
	}
	jb := wire.Job{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, Types: j.Types, Zone: j.Zone, Spot: j.Spot}
	return jb.Allows(&m.typ, m.Zone, m.Spot) && !slices.Contains(j.Avoid, m.ID)
}

func (s *Scheduler) fitsAfter(j *manager.JobView, m *machine, l manager.LeaseView) bool {
	return j.CPUs <= m.CPUs+l.CPUs && j.GPUs <= m.GPUs+l.GPUs && j.MemoryGB <= m.MemoryGB+l.MemoryGB
}

// pick chooses where the job's next task goes: a free machine with the image; the
// place after a lease on one that ends before a cold fetch would; a free machine
// that must fetch.
func (s *Scheduler) pick(j *manager.JobView) (choice, bool) {
	var best *machine
	bestRank := 0
	const slack = 1e-9
	for _, m := range s.order {
		if !m.Usable || j.CPUs > m.CPUs+slack || j.GPUs > m.GPUs+slack || j.MemoryGB > m.MemoryGB+slack || !s.allows(j, m) {
			continue
		}
		rank := 2
		if slices.Contains(m.Images, j.Image) {
			rank = 0
		} else if m.fetching[j.Image] || slices.Contains(m.Fetching, j.Image) {
			rank = 1
		}
		if best == nil || rank < bestRank || rank == bestRank && s.better(m, best) {
			best, bestRank = m, rank
		}
	}
	if best != nil && bestRank == 0 {
		return choice{m: best, local: true}, true
	}
	if c, ok := s.wait(j, best); ok {
		return c, true
	}
	if best == nil {
		return choice{}, false
	}
	return choice{m: best, cold: bestRank == 2}, true
}

// better prefers spot machines, so that dearer ones fall idle, and then the machine that
// the task fills more, so that large tasks find room on large machines.
func (s *Scheduler) better(a, b *machine) bool {
	if a.Spot != b.Spot {
		return a.Spot
	}
	return a.CPUs < b.CPUs
}

// wait finds a lease on a machine with the image that ends before a cold fetch would,
// and has no other waiter.
func (s *Scheduler) wait(j *manager.JobView, cold *machine) (choice, bool) {
	if cold == nil {
		return choice{}, false // nothing to weigh: the task stays in the queue
	}
	limit := s.fetchTime(j, cold.Zone)
	var best choice
	var bestEnd micros.Span
	for _, m := range s.order {
		if !m.Usable || !slices.Contains(m.Images, j.Image) || !s.allows(j, m) {
			continue
		}
		for _, l := range m.Leases {
			if l.EndsIn > 0 && l.EndsIn < limit && (l.Waiter == "" || l.Waiter == j.ID) && !m.claimed[l.Attempt] &&
				s.fitsAfter(j, m, l) && (best.m == nil || l.EndsIn < bestEnd) {
				best, bestEnd = choice{m: m, wait: l.Attempt, local: true}, l.EndsIn
			}
		}
	}
	return best, best.m != nil
}
