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

	"saffronbend/internal/lease"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Scheduler places the tasks of its teams' jobs.
type Scheduler struct {
	member  string
	tuning  settings.Tuning
	types   map[string]*wire.MachineType
	rates   map[string]float64 // fetch rate by zone, GB/s
	view    *snapshot.Snapshot
	order   []*machine // by name
	known   map[string]*machine
	queue   []*queued
	next    int
	skipped map[string]micros.Timestamp // since when a job is below the minimum level
	runs    map[string]*history         // by job
	after   uint64                      // views below this version do not show our grants
	teams   map[string]string           // of the jobs in the view
	waiting map[string]bool             // teams with work that waits in the view
}

// queued is the scheduler's own copy of what it needs of a job that waits.
type queued struct {
	*snapshot.Job
	wants  int
	inZone map[string]int
	zone   string // where all its tasks are to be in this view, if they must be in one
}

type history struct {
	byMachine map[string][]micros.Duration
	newest    []micros.Duration
}

// machine is the scheduler's own copy of a machine; the view is shared with others.
type machine struct {
	*snapshot.Machine
	typ      *wire.MachineType
	left     resources.Vector // in this view
	claimed  map[uint64]bool  // leases whose waiter's place we have taken in this view
	fetching map[string]bool  // images that our grants make it fetch
	dirty    bool             // differs from the view
}

// New makes a scheduler for a controller.
func New(member string, t settings.Tuning) *Scheduler {
	return &Scheduler{member: member, tuning: t, known: map[string]*machine{}, skipped: map[string]micros.Timestamp{}, runs: map[string]*history{}}
}

// SetTypes tells the scheduler what machines there are. The fetch rate of a zone is
// fixed: that of the slowest type offered there.
func (s *Scheduler) SetTypes(types []wire.MachineType) {
	s.types, s.rates = map[string]*wire.MachineType{}, map[string]float64{}
	for i := range types {
		t := &types[i]
		s.types[t.Name] = t
		for _, z := range t.Zones {
			if r, ok := s.rates[z]; t.FetchGBPS > 0 && (!ok || t.FetchGBPS < r) {
				s.rates[z] = t.FetchGBPS
			}
		}
	}
}

// Granted says that what was asked for shows from this version of the view on.
func (s *Scheduler) RequireVersion(version uint64) { s.after = max(s.after, version) }

// View takes a new view; a round of decisions on it follows with Round.
func (s *Scheduler) ApplySnapshot(v *snapshot.Snapshot) {
	if s.view != nil && s.view.FencingToken != v.FencingToken {
		s.after = 0
	}
	for _, f := range v.CompletedRuns {
		if v.TeamAssignments[f.Team] == s.member {
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
	s.view = v
	s.queue, s.next = nil, 0
	s.takeMachines(v)
	s.observeTeams(v)
	open := make(map[string]bool, len(v.Jobs))
	for _, j := range v.Jobs {
		open[j.ID] = true
		if n := v.PlaceableTasks(j); v.TeamAssignments[j.Team] == s.member && n > 0 {
			s.queue = append(s.queue, &queued{Job: j, wants: n, inZone: maps.Clone(j.ActiveByZone)})
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
	slices.SortStableFunc(s.queue, func(a, b *queued) int {
		ao, bo := s.overdue(a), s.overdue(b)
		switch {
		case ao && bo:
			return cmp.Compare(a.WaitingSince, b.WaitingSince)
		case ao:
			return -1
		case bo:
			return 1
		case a.Priority != b.Priority:
			return cmp.Compare(b.Priority, a.Priority)
		case a.Gang != b.Gang:
			// What needs all its room at once goes before what takes it bit by bit.
			if a.Gang {
				return -1
			}
			return 1
		}
		return cmp.Compare(s.laxity(a), s.laxity(b))
	})
	// A round that ran out of time goes on where it stopped.
	if i := slices.IndexFunc(s.queue, func(j *queued) bool { return j.ID == from }); i > 0 {
		s.queue = slices.Concat(s.queue[i:], s.queue[:i])
	}
}

// takeMachines renews the copies of the machines that the view shows otherwise than the
// last one, and of those that decisions have changed.
func (s *Scheduler) takeMachines(v *snapshot.Snapshot) {
	order := make([]*machine, 0, len(v.Machines))
	for _, mv := range v.Machines {
		m := s.known[mv.ID]
		if m == nil {
			m = &machine{}
			s.known[mv.ID] = m
		}
		if m.Machine != mv || m.dirty {
			*m = machine{Machine: mv, typ: s.types[mv.Type], left: mv.Vector}
		}
		order = append(order, m)
	}
	if len(s.known) > len(order) {
		clear(s.known)
		for _, m := range order {
			s.known[m.ID] = m
		}
	}
	s.order = order
}

// overdue tells whether a job has waited so long without one of its tasks being placed
// that it goes before all others, whatever its priority: a flood of urgent work, or a
// deadline that can't be kept any more, must not hold it up for ever.
func (s *Scheduler) overdue(j *queued) bool {
	return s.view.Now.Sub(j.WaitingSince) > s.tuning.ReserveAfter
}

// laxity orders jobs within a priority: by the time that is left beyond their run.
// Jobs that can't make it any more come after those that can, the oldest first.
func (s *Scheduler) laxity(j *queued) micros.Duration {
	age := s.view.Now.Sub(j.AcceptedAt)
	if j.Deadline == 0 {
		return micros.Forever/2 - age
	}
	left := j.Deadline.Sub(s.view.Now) - s.expected(j.ID, "", j.Estimate)
	if left < 0 {
		return micros.Forever/4 - age
	}
	return left
}

func (s *Scheduler) learn(f snapshot.CompletedRun) {
	h := s.runs[f.Job]
	if h == nil {
		h = &history{byMachine: map[string][]micros.Duration{}}
		s.runs[f.Job] = h
	}
	keep := func(list []micros.Duration) []micros.Duration {
		list = append(list, f.Run)
		return list[max(0, len(list)-s.tuning.RunHistory):]
	}
	h.byMachine[f.Machine] = keep(h.byMachine[f.Machine])
	h.newest = keep(h.newest)
}

// expected is the mean of the newest run times of the job's tasks on the machine,
// or else on any; without any, the given one.
func (s *Scheduler) expected(job, machine string, otherwise micros.Duration) micros.Duration {
	h := s.runs[job]
	if h == nil {
		return otherwise
	}
	list := h.byMachine[machine]
	if len(list) == 0 {
		list = h.newest
	}
	sum := micros.Duration(0)
	for _, r := range list {
		sum += r
	}
	return sum / micros.Duration(len(list))
}

func (s *Scheduler) fetchTime(j *queued, zone string) micros.Duration {
	r := s.rates[zone]
	if r <= 0 {
		return 0
	}
	return micros.Seconds(j.ImageGB / r)
}

// lease is the design's lease time: fetch, mean run time, slack.
func (s *Scheduler) lease(j *queued, m *machine, cold bool) micros.Duration {
	if s.runs[j.ID] == nil {
		return s.tuning.FirstLease
	}
	l := s.expected(j.ID, m.ID, 0) + s.tuning.LeaseSlack
	if cold {
		l += s.fetchTime(j, m.Zone)
	}
	return l
}

// Round makes the lease requests that the view allows, until spent says that the
// round's time is over; the next call goes on from there.
func (s *Scheduler) Round(now micros.Timestamp, spent func() bool) []lease.Transaction {
	var out []lease.Transaction
	if !s.UpToDate() {
		return nil
	}
	for ; s.next < len(s.queue); s.next++ {
		if spent() {
			return out
		}
		if asks := s.job(now, s.queue[s.next]); len(asks) > 0 {
			out = append(out, lease.Transaction{Requests: asks, AllOrNothing: s.queue[s.next].Gang})
		}
	}
	return out
}

// Current tells whether the view shows all that has been granted.
func (s *Scheduler) UpToDate() bool { return s.view != nil && s.view.Version >= s.after }

// Unfinished tells whether the last round stopped for lack of time.
func (s *Scheduler) Unfinished() bool { return s.next < len(s.queue) }

// most is the largest number of tasks of one job placed in one round.
const most = 256

// choice is a number of tasks on one machine, or the place of a lease's waiter.
type choice struct {
	m     *machine
	count int
	wait  uint64
	held  bool // we have the waiter's place already
	local bool
	cold  bool
	fits  int // tasks of a gang
	// limit is how many tasks may be placed by this choice, 0: any number. beyondCap says that they would take the team's share
	// of the machine beyond its cap.
	limit     int
	beyondCap bool
	reserved  bool // room that is reserved for the job
}

// job decides on one job's waiting tasks: first free machines with the image; then, for
// each task, the place after a lease on one that ends before a cold fetch would, or a
// free machine that must fetch.
func (s *Scheduler) job(now micros.Timestamp, j *queued) []lease.Request {
	wants := min(j.wants, most)
	if j.Gang {
		if j.Active > 0 || j.wants < j.Waiting {
			return nil // what is left of its last attempt, or the team's limit, is in the way
		}
		wants = j.wants
	}
	if j.SameZone && len(j.ActiveByZone) == 0 && s.settleZone(j) < wants && j.Gang {
		return nil // it fits nowhere as a whole
	}
	free := s.candidates(j)
	if len(free) == 0 {
		return nil // nothing to weigh: the tasks stay in the queue
	}
	p := s.pick(j, free, wants)
	if len(p.choices) == 0 {
		return nil
	}
	partial := j.Gang && p.placed < wants
	if partial || float64(p.local) < s.tuning.MinLocality*float64(p.placed) && s.skip(now, j, p.placed-p.local) {
		for _, c := range p.choices {
			s.book(j, c, -1)
		}
		return nil
	}
	delete(s.skipped, j.ID)
	return s.asks(j, p.choices)
}

// picked are choices for a job's tasks.
type picked struct {
	choices       []choice
	placed, local int // tasks, and those of them that fetch nothing
}

// pick takes the best choices for up to so many tasks and books them.
func (s *Scheduler) pick(j *queued, free []choice, wants int) (p picked) {
	weighed := false
	for _, c := range free {
		if p.placed == wants {
			break
		}
		if !c.local && !weighed {
			weighed = true
			// Others may take the place that a job waits for, and again after the next lease: one that has
			// waited long takes the room that there is.
			if !j.Gang && !s.overdue(j) {
				waits := s.waits(j, c.m)
				waits = waits[:min(len(waits), wants-p.placed)]
				p.choices = append(p.choices, waits...)
				p.placed += len(waits)
				p.local += len(waits)
			}
		}
		most := wants - p.placed
		if c.limit > 0 {
			most = min(most, c.limit)
		}
		c.count = s.room(j, c.m, most)
		if c.count <= 0 {
			continue
		}
		p.placed += c.count
		if c.local {
			p.local += c.count
		}
		p.choices = append(p.choices, c)
		s.book(j, c, 1)
	}
	return p
}

// asks gives the lease requests for the choices that a job's round ends with.
func (s *Scheduler) asks(j *queued, choices []choice) []lease.Request {
	var asks []lease.Request
	for _, c := range choices {
		c.m.dirty = true
		if c.wait != 0 {
			asks = append(asks, s.askToWait(j, c)...)
			continue
		}
		if c.cold {
			if c.m.fetching == nil {
				c.m.fetching = map[string]bool{}
			}
			c.m.fetching[j.Image] = true
		}
		j.wants -= c.count
		asks = append(asks, lease.Request{Job: j.ID, Machine: c.m.ID, Count: c.count, Duration: s.lease(j, c.m, c.cold)})
	}
	return asks
}

// askToWait gives the request for the place of a lease's waiter, unless the job has it already.
func (s *Scheduler) askToWait(j *queued, c choice) []lease.Request {
	if c.m.claimed == nil {
		c.m.claimed = map[uint64]bool{}
	}
	c.m.claimed[c.wait] = true
	if c.held {
		return nil
	}
	return []lease.Request{{Job: j.ID, Machine: c.m.ID, WaitFor: c.wait}}
}

// book enters a choice into the copies of this view, or takes it out again.
func (s *Scheduler) book(j *queued, c choice, sign int) {
	if c.wait != 0 {
		return
	}
	c.m.dirty = true
	c.m.left = c.m.left.AddTasks(j.Vector, -float64(sign*c.count))
	if j.inZone != nil {
		j.inZone[c.m.Zone] += sign * c.count
	}
}

// room is how many tasks of the job a machine takes now, n at the most.
func (s *Scheduler) room(j *queued, m *machine, n int) int {
	if !s.zoneAllows(j, m.Zone) {
		return 0
	}
	if j.MaxPerZone > 0 {
		n = min(n, j.MaxPerZone-j.inZone[m.Zone])
	}
	return m.leftFor(j).MaxTasks(j.Vector, n)
}

// leftFor is the room on a machine for tasks of a job: what is free, and what is reserved for them.
func (m *machine) leftFor(j *queued) resources.Vector {
	left := m.left
	for _, r := range m.Reserved {
		if r.Job == j.ID {
			left = left.AddTasks(r.Vector, 1)
		}
	}
	return left
}

// reservedFor is for how many tasks of a job room on a machine is reserved.
func (m *machine) reservedFor(j *queued) int {
	for _, r := range m.Reserved {
		if r.Job == j.ID {
			return r.Vector.MaxTasks(j.Vector, j.Waiting)
		}
	}
	return 0
}

// candidates gives the machines that have room for the job, the best first: with the
// image, then fetching it, then others.
func (s *Scheduler) candidates(j *queued) []choice {
	var out []choice
	ranks := map[*machine]int{}
	for _, m := range s.order {
		if !m.Usable || !m.leftFor(j).Fits(j.Vector) || !s.allows(j, m) {
			continue
		}
		warm := slices.Contains(m.Images, j.Image)
		c := choice{m: m, local: warm}
		if !warm {
			c.cold = !m.fetching[j.Image] && !slices.Contains(m.Fetching, j.Image)
			ranks[m] = 1
			if c.cold {
				ranks[m] = 2
			}
		}
		if j.Gang {
			c.fits = s.room(j, m, j.wants)
		}
		out = append(out, s.divide(j, c)...)
	}
	s.sortChoices(j, out, ranks)
	return out
}

// sortChoices puts the best choices first; ranks are the machines' by image.
func (s *Scheduler) sortChoices(j *queued, out []choice, ranks map[*machine]int) {
	slices.SortStableFunc(out, func(a, b choice) int {
		if a.m.ReservedForJob != b.m.ReservedForJob {
			// Room kept for this very job first: others can't use it.
			if a.m.ReservedForJob == j.ID {
				return -1
			} else if b.m.ReservedForJob == j.ID {
				return 1
			}
		}
		if a.reserved != b.reserved {
			if a.reserved {
				return -1
			}
			return 1
		}
		if j.Gang && a.m.Unreliable != b.m.Unreliable {
			if b.m.Unreliable {
				return -1
			}
			return 1
		}
		if c := ranks[a.m] - ranks[b.m]; c != 0 {
			return c
		}
		if a.beyondCap != b.beyondCap {
			if b.beyondCap {
				return -1
			}
			return 1
		}
		// Each machine that a gang is on may fail or be slow for all of it: as few as can be.
		return cmp.Or(b.fits-a.fits, better(a.m, b.m))
	})
}

// better prefers spot machines, so that dearer ones fall idle, and then the machine that
// the task fills more, so that large tasks find room on large machines.
func better(a, b *machine) int {
	if a.Spot != b.Spot {
		if a.Spot {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.left.CPUs, b.left.CPUs)
}

// settleZone chooses the zone of a job that wants all its tasks in one: where most of
// them find room now, for a gang that fits in several, on machines that have its image. It
// gives the number that find room there.
func (s *Scheduler) settleZone(j *queued) int {
	room, local := map[string]int{}, map[string]int{}
	best := ""
	for _, m := range s.order {
		if !m.Usable || !s.allows(j, m) {
			continue
		}
		n := s.room(j, m, j.wants)
		room[m.Zone] += n
		if j.Gang && !m.Unreliable && slices.Contains(m.Images, j.Image) {
			local[m.Zone] += n
		}
	}
	for _, z := range slices.Sorted(maps.Keys(room)) {
		if j.Gang {
			room[z], local[z] = min(room[z], j.wants), min(local[z], j.wants)
		}
		if best == "" || cmp.Or(room[z]-room[best], local[z]-local[best]) > 0 {
			best = z
		}
	}
	j.zone = best // the leader checks again
	return room[best]
}

// skip tells whether a job below the minimum level is passed over. The exception to
// the design (docs/design.md): it is not, once nothing that the skip waits for can
// come: no machine with the image has a lease that ends within what is left of it. For a
// gang the wait for one place holds up all: it is worth it only where as many places as would
// fetch come free before that fetch would end.
func (s *Scheduler) skip(now micros.Timestamp, j *queued, cold int) bool {
	since, ok := s.skipped[j.ID]
	if !ok {
		since = now
		s.skipped[j.ID] = now
	}
	left := s.tuning.MaxSkip - now.Sub(since)
	if left <= 0 {
		return false
	}
	places := 0
	for _, m := range s.order {
		if !m.Usable || !slices.Contains(m.Images, j.Image) || !s.allows(j, m) {
			continue
		}
		if j.Gang {
			left = min(left, s.fetchTime(j, m.Zone))
		}
		for _, g := range m.Leases {
			for _, l := range g.Leases {
				if ends := l.Expiry.Sub(s.view.Now); ends <= left && ends > -s.tuning.LeaseGrace && fitsAfter(j, m, g) {
					if places++; !j.Gang || places >= cold {
						return true
					}
				}
			}
		}
	}
	return false
}

func (s *Scheduler) zoneAllows(j *queued, zone string) bool {
	return !(j.MaxPerZone > 0 && j.inZone[zone] >= j.MaxPerZone || j.zone != "" && j.zone != zone || j.SameZone && len(j.ActiveByZone) > 0 && j.ActiveByZone[zone] == 0)
}

func (s *Scheduler) allows(j *queued, m *machine) bool {
	if m.typ == nil || m.ReservedForJob != "" && m.ReservedForJob != j.ID || !s.zoneAllows(j, m.Zone) {
		return false
	}
	return j.Allows(m.typ, m.Zone, m.Spot) && !slices.Contains(j.AvoidMachines, m.ID)
}

func fitsAfter(j *queued, m *machine, l snapshot.JobLeases) bool {
	return m.left.AddTasks(l.Vector, 1).Fits(j.Vector)
}

// waits gives the leases on machines with the image that end before a cold fetch on the
// given machine would, and have no other waiter; those that end first come first.
func (s *Scheduler) waits(j *queued, cold *machine) []choice {
	limit := s.fetchTime(j, cold.Zone)
	type wait struct {
		choice
		ends micros.Timestamp
	}
	var found []wait
	for _, m := range s.order {
		if !m.Usable || len(m.Leases) == 0 || !slices.Contains(m.Images, j.Image) || !s.allows(j, m) {
			continue
		}
		for _, g := range m.Leases {
			for _, l := range g.Leases {
				ends := l.Expiry.Sub(s.view.Now)
				taken := l.Waiter != "" && l.Waiter != j.ID && s.view.Now < l.WaiterUntil
				if ends > 0 && ends < limit && !taken && !m.claimed[l.Attempt] && fitsAfter(j, m, g) {
					found = append(found, wait{choice{m: m, wait: l.Attempt, held: l.Waiter == j.ID && s.view.Now < l.WaiterUntil, local: true}, l.Expiry})
				}
			}
		}
	}
	slices.SortStableFunc(found, func(a, b wait) int { return cmp.Compare(a.ends, b.ends) })
	out := make([]choice, len(found))
	for i := range found {
		out[i] = found[i].choice
	}
	return out
}
