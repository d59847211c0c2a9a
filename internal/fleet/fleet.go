// Package fleet decides which machines to rent and which to return. It is a state
// machine without I/O and without a clock, owned by one goroutine of the leading
// controller.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"saffronbend/internal/manager"
	"saffronbend/internal/micros"
	"saffronbend/internal/settings"
	"saffronbend/wire"
)

// Config is what the fleet must know beforehand.
type Config struct {
	Token   uint64
	Lease   micros.Span
	Report  micros.Span
	ListLag micros.Span
	Tuning  settings.Tuning
	// Urgent classes have an aim for how soon their tasks start.
	Urgent map[string]bool
}

// Actions are what the fleet wants done.
type Actions struct {
	Hires  []wire.Hire
	Return []string
	Notes  []Note
}

// Note explains an action to the operators.
type Note struct{ Machine, Why string }

// place is where machines come from.
type place struct {
	typ, zone string
	spot      bool
}

// Fleet is the state of a term.
type Fleet struct {
	cfg     Config
	born    micros.Time
	types   []wire.MachineType
	refused map[place]micros.Time // no asking again before
	refusal map[place]micros.Span
	out     map[string]wire.Hire // hires that await their outcome
	serial  int
}

// New starts a term.
func New(now micros.Time, cfg Config) *Fleet {
	return &Fleet{cfg: cfg, born: now, refused: map[place]micros.Time{}, refusal: map[place]micros.Span{}, out: map[string]wire.Hire{}}
}

// SetTypes takes the machine types with their current prices.
func (f *Fleet) SetTypes(t []wire.MachineType) { f.types = t }

// Hired takes the outcome of a hire: how many machines came.
func (f *Fleet) Hired(now micros.Time, h wire.Hire, got int) {
	delete(f.out, h.Request)
	p := place{h.Type, h.Zone, h.Spot}
	if got >= h.Count {
		delete(f.refusal, p)
		return
	}
	// Refused or filled in part: the place is empty for a while.
	wait := min(max(2*f.refusal[p], 5*micros.Second), 30*micros.Second)
	f.refusal[p] = wait
	f.refused[p] = now.Add(wait)
}

func (f *Fleet) typ(name string) *wire.MachineType {
	for i := range f.types {
		if f.types[i].Name == name {
			return &f.types[i]
		}
	}
	return nil
}

// bin is room on a machine that is there, or will be.
type bin struct {
	id              string
	typ             *wire.MachineType
	zone            string
	spot            bool
	cpus, gpus, mem float64
	used            bool
	// later is what work that ends before long frees; only patient jobs count on it.
	later room
}

type room struct{ cpus, gpus, mem float64 }

// take books a task; a patient one may count on room to come.
func (b *bin) take(j *manager.JobView, patient bool) bool {
	const slack = 1e-9
	var later room
	if patient {
		later = b.later
	}
	jb := wire.Job{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, Types: j.Types, Zone: j.Zone, Spot: j.Spot}
	if j.CPUs > b.cpus+later.cpus+slack || j.GPUs > b.gpus+later.gpus+slack || j.MemoryGB > b.mem+later.mem+slack || !jb.Allows(b.typ, b.zone, b.spot) {
		return false
	}
	b.cpus, b.gpus, b.mem, b.used = b.cpus-j.CPUs, b.gpus-j.GPUs, b.mem-j.MemoryGB, true
	return true
}

// Handle decides on a view.
func (f *Fleet) Handle(now micros.Time, v *manager.View) Actions {
	var acts Actions
	if len(f.types) == 0 {
		return acts
	}
	f.remove(v, &acts)
	// A new leader first hears from the machines that there are.
	if now.Sub(f.born) < f.cfg.Report.Scale(1.25)+2*micros.Second {
		return acts
	}
	bins, count := f.bins(v, acts.Return)
	short := f.shortage(v, bins)
	f.rent(now, short, count, &acts)
	f.returnIdle(v, bins, len(short) > 0, &acts)
	return acts
}

// remove returns machines that are of no use: failed, never up, silent or taken,
// faulty and empty.
func (f *Fleet) remove(v *manager.View, acts *Actions) {
	for i := range v.Machines {
		m := &v.Machines[i]
		why := ""
		boot := 60 * micros.Second
		if t := f.typ(m.Type); t != nil {
			boot = micros.Seconds(t.BootS)
		}
		switch {
		case m.Deleting:
		case m.Failed:
			why = "failed"
		case !m.Up && m.State == wire.MachineStarting && m.Age > boot.Scale(f.cfg.Tuning.BootPatience):
			why = "does not come up"
		case m.State != wire.MachineStarting && m.Missing && m.Silent > 2*f.cfg.Report+micros.Second:
			why = "taken"
		case m.State != wire.MachineStarting && m.Silent > f.cfg.Lease+f.cfg.Tuning.SilentReturn,
			m.State != wire.MachineStarting && m.Stuck && m.Silent > f.cfg.Lease+f.cfg.Tuning.SilentReturn/2:
			why = "silent"
		case m.Up && m.Suspect != "" && m.Proven:
			why = m.Suspect
		}
		if why != "" {
			acts.Return = append(acts.Return, m.ID)
			acts.Notes = append(acts.Notes, Note{m.ID, why})
		}
	}
}

// bins collects the room there is, or will be before long; work that ends within
// the time that queued work can wait makes room too.
func (f *Fleet) bins(v *manager.View, returned []string) (bins []*bin, count int) {
	for i := range v.Machines {
		m := &v.Machines[i]
		if m.Deleting || m.Failed || slices.Contains(returned, m.ID) {
			continue
		}
		count++
		t := f.typ(m.Type)
		if t == nil || m.Suspect != "" {
			continue
		}
		b := &bin{id: m.ID, typ: t, zone: m.Zone, spot: m.Spot, cpus: m.CPUs, gpus: m.GPUs, mem: m.MemoryGB}
		switch {
		case m.Usable:
			for _, l := range m.Leases {
				if l.Left < f.cfg.Tuning.HireAhead && l.Left > -f.cfg.Tuning.Grace {
					b.later.cpus += l.CPUs
					b.later.gpus += l.GPUs
					b.later.mem += l.MemoryGB
				}
			}
		case !m.Soon:
			continue
		}
		bins = append(bins, b)
	}
	for _, id := range slices.Sorted(maps.Keys(f.out)) {
		h := f.out[id]
		count += h.Count
		if t := f.typ(h.Type); t != nil {
			for range h.Count {
				bins = append(bins, &bin{typ: t, zone: h.Zone, spot: h.Spot, cpus: t.CPUs, gpus: t.GPUs, mem: t.MemoryGB, used: true})
			}
		}
	}
	return bins, count
}

// shortage places the queued tasks into the room there is and gives those left.
func (f *Fleet) shortage(v *manager.View, bins []*bin) []*manager.JobView {
	var jobs []*manager.JobView
	for i := range v.Jobs {
		if v.Jobs[i].Waiting > 0 && v.Jobs[i].Room > 0 {
			jobs = append(jobs, &v.Jobs[i])
		}
	}
	slices.SortStableFunc(jobs, func(a, b *manager.JobView) int {
		if a.Priority != b.Priority {
			return cmp.Compare(b.Priority, a.Priority)
		}
		return cmp.Compare(b.CPUs, a.CPUs)
	})
	slices.SortStableFunc(bins, func(a, b *bin) int { return cmp.Compare(a.cpus, b.cpus) })
	var short []*manager.JobView
	const most = 512
	for _, j := range jobs {
	tasks:
		for range min(j.Waiting, j.Room, most) {
			for _, b := range bins {
				if b.take(j, !f.cfg.Urgent[j.Class]) {
					continue tasks
				}
			}
			short = append(short, j)
			if len(short) >= most {
				return short
			}
		}
	}
	return short
}

// rent asks for machines for the tasks that are short of room, cheapest first: the
// price of the machines from now until the tasks should be done.
func (f *Fleet) rent(now micros.Time, short []*manager.JobView, count int, acts *Actions) {
	for hires := 0; len(short) > 0 && hires < 4 && count < f.cfg.Tuning.MaxMachines; hires++ {
		var best place
		var bestTaken, bestN int
		bestCost := 0.0
		for i := range f.types {
			t := &f.types[i]
			for _, z := range t.Zones {
				for _, spot := range []bool{true, false} {
					p := place{t.Name, z, spot}
					if now < f.refused[p] || f.asking(p) {
						continue
					}
					cost, taken, n := f.weigh(t, p, short, f.cfg.Tuning.MaxMachines-count)
					if taken > 0 && (bestTaken == 0 || cost < bestCost) {
						best, bestCost, bestTaken, bestN = p, cost, taken, n
					}
				}
			}
		}
		if bestTaken == 0 {
			return
		}
		f.serial++
		h := wire.Hire{Request: "r-" + strconv.FormatUint(f.cfg.Token, 10) + "-" + strconv.Itoa(f.serial),
			Type: best.typ, Zone: best.zone, Spot: best.spot, Count: bestN}
		f.out[h.Request] = h
		acts.Hires = append(acts.Hires, h)
		count += h.Count
		short = f.fill(f.typ(best.typ), best, short, bestN)
	}
}

func (f *Fleet) asking(p place) bool {
	for _, h := range f.out {
		if p == (place{h.Type, h.Zone, h.Spot}) {
			return true
		}
	}
	return false
}

// fill places tasks into n new machines and gives those left.
func (f *Fleet) fill(t *wire.MachineType, p place, short []*manager.JobView, n int) []*manager.JobView {
	bins := make([]*bin, n)
	for i := range bins {
		bins[i] = &bin{typ: t, zone: p.zone, spot: p.spot, cpus: t.CPUs, gpus: t.GPUs, mem: t.MemoryGB}
	}
	var left []*manager.JobView
tasks:
	for _, j := range short {
		for _, b := range bins {
			if b.take(j, false) {
				continue tasks
			}
		}
		left = append(left, j)
	}
	return left
}

// weigh gives the price for each processor second that a place's machines would do,
// with the machines' boot time.
func (f *Fleet) weigh(t *wire.MachineType, p place, short []*manager.JobView, room int) (cost float64, taken, n int) {
	const perRequest = 4 // several small requests show sooner where capacity ends
	left := short
	for n < min(room, perRequest) {
		rest := f.fill(t, p, left, 1)
		if len(rest) == len(left) {
			break
		}
		left = rest
		n++
	}
	taken = len(short) - len(left)
	if taken == 0 {
		return 0, 0, 0
	}
	work, longest := 0.0, 0.0
	kept := map[*manager.JobView]int{}
	for _, j := range left {
		kept[j]++
	}
	for _, j := range short {
		if kept[j] > 0 {
			kept[j]--
			continue
		}
		work += j.CPUs * j.Estimate.Seconds()
		longest = max(longest, j.Estimate.Seconds())
	}
	price := t.Price
	if p.spot {
		price = t.SpotPrice
	}
	held := max(60, t.BootS+longest+f.cfg.Tuning.IdleReturn.Seconds())
	return price * float64(n) * held / max(work, 1e-6), taken, n
}

// returnIdle returns machines that nothing needs. Ordinary machines go sooner where
// they cost more.
func (f *Fleet) returnIdle(v *manager.View, bins []*bin, short bool, acts *Actions) {
	needed := map[string]bool{}
	for _, b := range bins {
		if b.used {
			needed[b.id] = true
		}
	}
	for i := range v.Machines {
		m := &v.Machines[i]
		t := f.typ(m.Type)
		if t == nil || !m.Usable || !m.Proven || needed[m.ID] || short && m.Idle < 2*f.cfg.Tuning.IdleReturn {
			continue
		}
		limit := f.cfg.Tuning.IdleReturn
		if !m.Spot && t.SpotPrice < t.Price {
			limit = limit.Scale(t.SpotPrice / t.Price)
		}
		if m.Idle > limit {
			acts.Return = append(acts.Return, m.ID)
			acts.Notes = append(acts.Notes, Note{m.ID, "idle"})
		}
	}
}
