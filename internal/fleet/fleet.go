// Package fleet decides which machines to rent and which to return. It is a state
// machine without I/O and without a clock, owned by one goroutine of the leading
// controller.
package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/internal/resources"
	"saffronbend/internal/settings"
	"saffronbend/internal/snapshot"
	"saffronbend/wire"
)

// Config is what the fleet must know beforehand.
type Config struct {
	FencingToken      uint64
	LeaseDuration     micros.Duration
	HeartbeatInterval micros.Duration
	ListLag           micros.Duration
	Tuning            settings.Tuning
	// Urgent classes have an aim for how soon their tasks start.
	UrgentClasses map[string]bool
}

// Actions are what the fleet wants done.
type Actions struct {
	ScaleOut       []wire.ScaleOutRequest
	ScaleIn        []string
	ScaleInReasons []ScaleInReason
	// Shortage says why there is no room yet for tasks that are to be evicted.
	Shortage Shortage
}

// Shortage says why there is no room for tasks that are to be evicted.
type Shortage string

// Reasons of a shortage.
const (
	NoShortage          Shortage = ""
	ScalingOut          Shortage = "machines are being rented"
	NoMachines          Shortage = "the cloud has none"
	MachineLimitReached Shortage = "max_machines is reached"
)

// ScaleInReason explains an action to the operators.
type ScaleInReason struct{ Machine, Reason string }

// place is where machines come from.
type place struct {
	typ, zone string
	spot      bool
}

// Fleet is the state of a term.
type Fleet struct {
	cfg     Config
	born    micros.Timestamp
	types   []wire.MachineType
	refused map[place]micros.Timestamp // no asking again before
	refusal map[place]micros.Duration
	out     map[string]wire.ScaleOutRequest // hires that await their outcome
	demand  demand
	vacated []drain.VacatedPool
	serial  int
}

// New starts a term.
func New(now micros.Timestamp, cfg Config) *Fleet {
	return &Fleet{cfg: cfg, born: now, refused: map[place]micros.Timestamp{}, refusal: map[place]micros.Duration{}, out: map[string]wire.ScaleOutRequest{},
		demand: demand{seen: map[string]bool{}, classes: map[string][]arrival{}}}
}

// SetTypes takes the machine types with their current prices.
func (f *Fleet) SetTypes(t []wire.MachineType) { f.types = t }

// ScaledOut takes the outcome of a hire: how many machines came.
func (f *Fleet) ScaledOut(now micros.Timestamp, h wire.ScaleOutRequest, got int) {
	delete(f.out, h.RequestID)
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
	id   string
	typ  *wire.MachineType
	zone string
	spot bool
	keep string // the job for which its room is kept
	room resources.Vector
	used bool
	// later is what work that ends before long frees, for jobs whose start has no aim; soon
	// what work frees well before a new machine would be up, for the others.
	later, soon resources.Vector
}

// want is a number of tasks of a job.
type want struct {
	*snapshot.Job
	n       int
	choices int  // machine types that the job may use
	urgent  bool // its class has an aim for how soon its tasks start
	// expected tasks have not been asked for yet: only free room is room for them, and
	// only spot machines are rented for them where they may use those.
	expected bool
	// elsewhere: machines for it can be rented where nothing is vacated.
	elsewhere bool
	// replacement tasks run and leave their machines once there is free room for them elsewhere.
	replacement bool
	inZone      map[string]int // tasks of a job that must be spread, by zone
}

// less is what is left to want when n tasks have found room in a zone.
func (w *want) less(zone string, n int) *want {
	rest := *w
	rest.n -= n
	if w.MaxPerZone > 0 {
		rest.inZone = maps.Clone(w.inZone)
		if rest.inZone == nil {
			rest.inZone = map[string]int{}
		}
		rest.inZone[zone] += n
	}
	return &rest
}

// take books as many of the wanted tasks as fit, also into room to come, and gives their
// number.
func (b *bin) take(w *want) int { return b.takeUpTo(w, w.n, w.inZone[b.zone]) }

// takeUpTo is take for at most so many tasks, when the job has the given number in the bin's zone.
func (b *bin) takeUpTo(w *want, most, inZone int) int {
	if b.keep != "" && b.keep != w.ID {
		return 0
	}
	have := b.room
	switch {
	case w.expected, w.Gang, w.replacement:
		// A gang needs its room all at once.
	case w.urgent:
		have = have.AddTasks(b.soon, 1)
	default:
		have = have.AddTasks(b.later, 1)
	}
	n := have.MaxTasks(w.Vector, most)
	if w.MaxPerZone > 0 {
		n = min(n, w.MaxPerZone-inZone)
	}
	if n <= 0 {
		return 0
	}
	if !w.Allows(b.typ, b.zone, b.spot) {
		return 0
	}
	b.room = b.room.AddTasks(w.Vector, -float64(n))
	b.used = true
	return n
}

// Decide decides on a view.
func (f *Fleet) Decide(now micros.Timestamp, v *snapshot.Snapshot) Actions {
	var acts Actions
	if len(f.types) == 0 {
		return acts
	}
	f.demand.see(v, f.cfg.UrgentClasses)
	f.vacated = v.VacatedPools
	f.remove(v, &acts)
	// A new leader first hears from the machines that there are.
	if now.Sub(f.born) < f.cfg.HeartbeatInterval.Scale(1.25)+2*micros.Second {
		return acts
	}
	bins, count := f.bins(v, acts.ScaleIn)
	short := f.shortage(v, bins)
	f.rent(now, short, count, &acts)
	acts.Shortage = f.replacementShortage(short, count, acts.ScaleOut)
	f.returnIdle(v, bins, len(short) > 0, &acts)
	return acts
}

// replacementShortage says why there is no room yet for tasks that are to be evicted, if they are among those that are short.
func (f *Fleet) replacementShortage(short []*want, count int, hires []wire.ScaleOutRequest) Shortage {
	switch {
	case !slices.ContainsFunc(short, func(w *want) bool { return w.replacement }):
		return NoShortage
	case len(hires) > 0 || len(f.out) > 0:
		return ScalingOut
	case count >= f.cfg.Tuning.MaxMachines:
		return MachineLimitReached
	}
	return NoMachines
}

// remove returns machines that are of no use: failed, never up, silent, deaf or taken,
// faulty and empty.
func (f *Fleet) remove(v *snapshot.Snapshot, acts *Actions) {
	for _, m := range v.Machines {
		why := ""
		boot := 60 * micros.Second
		if t := f.typ(m.Type); t != nil {
			boot = micros.Seconds(t.BootS)
		}
		silent := v.Now.Sub(m.LastHeartbeat)
		patience := f.cfg.LeaseDuration + f.cfg.Tuning.SilenceTimeout
		switch {
		case m.Deleting:
		case m.Failed:
			why = "failed"
		case !m.Up && m.State == wire.MachineStarting && v.Now.Sub(m.RegisteredAt) > boot.Scale(f.cfg.Tuning.BootTimeoutFactor):
			why = "does not come up"
		case m.State != wire.MachineStarting && m.Unlisted && silent > 2*f.cfg.HeartbeatInterval+micros.Second:
			why = "taken"
		case m.State != wire.MachineStarting && silent > patience,
			m.State != wire.MachineStarting && m.NeedsDeletion && silent > f.cfg.LeaseDuration+f.cfg.Tuning.SilenceTimeout/2:
			why = "silent"
		case m.UnreachableSince != 0 && v.Now.Sub(m.UnreachableSince) > f.cfg.LeaseDuration+f.cfg.Tuning.SilenceTimeout/2:
			why = "does not hear"
		case m.Up && m.QuarantineReason != "" && m.ProvenIdle():
			why = m.QuarantineReason
		}
		if why != "" {
			acts.ScaleIn = append(acts.ScaleIn, m.ID)
			acts.ScaleInReasons = append(acts.ScaleInReasons, ScaleInReason{m.ID, why})
		}
	}
}

// bins collects the room there is, or will be before long; work that ends within
// the time that queued work can wait makes room too.
func (f *Fleet) bins(v *snapshot.Snapshot, returned []string) (bins []*bin, count int) {
	out := map[string]bool{}
	for _, id := range returned {
		out[id] = true
	}
	for _, m := range v.Machines {
		if m.Deleting || m.Failed || out[m.ID] {
			continue
		}
		count++
		t := f.typ(m.Type)
		if t == nil || m.QuarantineReason != "" {
			continue
		}
		b := &bin{id: m.ID, typ: t, zone: m.Zone, spot: m.Spot, keep: m.ReservedForJob, room: m.Vector}
		switch {
		case m.Usable:
			for _, g := range m.Leases {
				for _, l := range g.Leases {
					left := l.ExpectedEnd.Sub(v.Now)
					if left < -f.cfg.Tuning.LeaseGrace {
						continue
					}
					if left < f.cfg.Tuning.ScaleOutAhead {
						b.later = b.later.AddTasks(g.Vector, 1)
					}
					if left < micros.Seconds(t.BootS/2) {
						b.soon = b.soon.AddTasks(g.Vector, 1)
					}
				}
			}
		case !m.ExpectedSoon:
			continue
		}
		bins = append(bins, b)
	}
	for _, id := range slices.Sorted(maps.Keys(f.out)) {
		h := f.out[id]
		count += h.Count
		if t := f.typ(h.Type); t != nil {
			for range h.Count {
				bins = append(bins, newBin(t, place{h.Type, h.Zone, h.Spot}))
			}
		}
	}
	return bins, count
}

func newBin(t *wire.MachineType, p place) *bin {
	return &bin{typ: t, zone: p.zone, spot: p.spot, room: resources.ForMachine(t)}
}

// shortage places the queued tasks into the room there is and gives those left. Jobs that
// few types of machines can take choose first, so that the room on those is not counted
// on by others.
func (f *Fleet) shortage(v *snapshot.Snapshot, bins []*bin) []*want {
	var wants []*want
	for _, j := range v.Jobs {
		if n := v.PlaceableTasks(j); n > 0 {
			wants = append(wants, &want{Job: j, n: n, choices: f.choices(j), urgent: f.cfg.UrgentClasses[j.Class], inZone: j.ActiveByZone})
		}
	}
	for _, j := range v.Replacements {
		wants = append(wants, &want{Job: j, n: j.Waiting, choices: f.choices(j), replacement: true, inZone: j.ActiveByZone})
	}
	slices.SortStableFunc(wants, func(a, b *want) int {
		return cmp.Or(a.choices-b.choices, cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.CPUs, a.CPUs))
	})
	slices.SortStableFunc(bins, func(a, b *bin) int {
		return cmp.Or(cmp.Compare(a.typ.CPUs, b.typ.CPUs), cmp.Compare(a.room.CPUs, b.room.CPUs))
	})
	var short []*want
	for _, w := range slices.Concat(wants, f.demand.expect(v.Now, f.cfg.Tuning.SpareShare)) {
		if w.Gang && w.SameZone {
			f.settleZone(v.Now, w, bins)
		}
		for _, b := range bins {
			if n := b.take(w); n > 0 {
				if w = w.less(b.zone, n); w.n == 0 {
					break
				}
			}
		}
		if w.n > 0 {
			short = append(short, w)
		}
	}
	return short
}

// settleZone chooses the zone where a gang that must be in one is to find room, or where
// machines are rented for it: the one with most room now. One where nothing can be rented and
// there is not enough is passed over while there are others.
func (f *Fleet) settleZone(now micros.Timestamp, w *want, bins []*bin) {
	if w.Zone != nil {
		return
	}
	room := map[string]int{} // by zone, for tasks of the gang
	for _, t := range f.types {
		for _, z := range t.Zones {
			if f.rentable(now, &t, z, w) {
				room[z] = 0
			}
		}
	}
	there := map[string]int{}
	for _, b := range bins {
		if (b.keep == "" || b.keep == w.ID) && w.Allows(b.typ, b.zone, b.spot) {
			there[b.zone] = min(w.n, there[b.zone]+b.room.MaxTasks(w.Vector, w.n))
		}
	}
	for z, n := range there {
		if _, ok := room[z]; ok || n == w.n {
			room[z] = n
		}
	}
	best := ""
	for _, z := range slices.Sorted(maps.Keys(room)) {
		if best == "" || room[z] > room[best] {
			best = z
		}
	}
	if best != "" {
		jv := *w.Job
		jv.Zone = &best
		w.Job = &jv
	}
}

// rentable tells whether machines that take the tasks may be asked for there.
func (f *Fleet) rentable(now micros.Timestamp, t *wire.MachineType, zone string, w *want) bool {
	for _, spot := range []bool{true, false} {
		if w.Allows(t, zone, spot) && now >= f.refused[place{t.Name, zone, spot}] {
			return true
		}
	}
	return false
}

// isVacated tells whether a drain vacates the machines of a type in a zone.
func (f *Fleet) isVacated(typ, zone string) bool {
	return slices.ContainsFunc(f.vacated, func(v drain.VacatedPool) bool { return v.Includes(typ, zone) })
}

// rentableElsewhere tells whether machines that take the tasks may be asked for where nothing is vacated.
func (f *Fleet) rentableElsewhere(now micros.Timestamp, w *want) bool {
	if len(f.vacated) == 0 {
		return false
	}
	for i := range f.types {
		for _, zone := range f.types[i].Zones {
			if !f.isVacated(f.types[i].Name, zone) && f.rentable(now, &f.types[i], zone, w) {
				return true
			}
		}
	}
	return false
}

// choices is how many types of machines can take a task of the job.
func (f *Fleet) choices(j *snapshot.Job) int {
	n := 0
	for i := range f.types {
		if slices.ContainsFunc(f.types[i].Zones, func(z string) bool { return j.Allows(&f.types[i], z, false) }) {
			n++
		}
	}
	return n
}

// rent asks for machines for the tasks that are short of room, cheapest first: the
// price of the machines from now until the tasks should be done.
func (f *Fleet) rent(now micros.Timestamp, short []*want, count int, acts *Actions) {
	const steps, perStep, perRequest = 24, 8, 50
	rents := map[place]int{}
	var order []place
	// How many of each of the wanted tasks are left, in the place that is weighed and in the best one so far.
	left, bestLeft := make([]int, len(short)), make([]int, len(short))
	for _, w := range short {
		w.elsewhere = f.rentableElsewhere(now, w)
	}
	for range steps {
		machinesLeft := f.cfg.Tuning.MaxMachines - count
		if len(short) == 0 || machinesLeft <= 0 {
			break
		}
		var best place
		bestN, bestCost := 0, 0.0
		for i := range f.types {
			t := &f.types[i]
			for _, z := range t.Zones {
				for _, spot := range []bool{true, false} {
					p := place{t.Name, z, spot}
					room := min(machinesLeft, perStep, perRequest-rents[p])
					if now < f.refused[p] || f.asking(p) || room <= 0 {
						continue
					}
					cost, n := f.weigh(t, p, short, room, left)
					if n > 0 && (bestN == 0 || cost < bestCost) {
						best, bestCost, bestN = p, cost, n
						left, bestLeft = bestLeft, left
					}
				}
			}
		}
		if bestN == 0 {
			break
		}
		if rents[best] == 0 {
			order = append(order, best)
		}
		rents[best] += bestN
		count += bestN
		short = stillWanted(short, bestLeft, best.zone)
	}
	for _, p := range order {
		f.serial++
		h := wire.ScaleOutRequest{RequestID: "r-" + strconv.FormatUint(f.cfg.FencingToken, 10) + "-" + strconv.Itoa(f.serial),
			Type: p.typ, Zone: p.zone, Spot: p.spot, Count: rents[p]}
		f.out[h.RequestID] = h
		acts.ScaleOut = append(acts.ScaleOut, h)
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

// stillWanted gives what is left of the wanted tasks when so many of each are, and the others have found room in a zone.
func stillWanted(short []*want, left []int, zone string) []*want {
	var rest []*want
	for i, w := range short {
		switch {
		case left[i] == w.n:
			rest = append(rest, w)
		case left[i] > 0:
			rest = append(rest, w.less(zone, w.n-left[i]))
		}
	}
	return rest
}

// weigh fills up to most new machines of a place and gives the price for each processor second that they would do, boot
// included, and their number. It says in left how many of each of the wanted tasks then are left.
func (f *Fleet) weigh(t *wire.MachineType, p place, short []*want, most int, left []int) (cost float64, n int) {
	smallest := math.Inf(1)
	for i, w := range short {
		left[i] = w.n
		smallest = min(smallest, w.CPUs)
	}
	work, longest := 0.0, 0.0
	vacated := f.isVacated(t.Name, p.zone)
	for n < most {
		b := newBin(t, p)
		for i, w := range short {
			if full := b.room.CPUs < smallest-rounding; full {
				break
			}
			if left[i] == 0 || w.expected && w.Spot && !p.spot || vacated && w.elsewhere {
				continue
			}
			got := b.takeUpTo(w, left[i], w.inZone[p.zone]+w.n-left[i])
			if got == 0 {
				continue
			}
			left[i] -= got
			work += float64(got) * w.CPUs * w.Estimate.Seconds()
			longest = max(longest, w.Estimate.Seconds())
		}
		if !b.used {
			break
		}
		n++
	}
	if n == 0 {
		return 0, 0
	}
	price := t.Price
	if p.spot {
		price = t.SpotPrice
	}
	held := max(60, t.BootS+longest+f.cfg.Tuning.IdleTimeout.Seconds())
	return price * float64(n) * held / max(work, 1e-6), n
}

// rounding is less than any amount of processors that makes a difference.
const rounding = 1e-6

// returnIdle returns machines that nothing needs. Ordinary machines go sooner where
// they cost more.
func (f *Fleet) returnIdle(v *snapshot.Snapshot, bins []*bin, short bool, acts *Actions) {
	needed := map[string]bool{}
	for _, b := range bins {
		if b.used {
			needed[b.id] = true
		}
	}
	// Other work that is short of room, though not of these machines', is a sign of pressure.
	// Then a few may stay for longer: as what comes varies by, the root of their number.
	spare := 0
	if short {
		spare = int(math.Sqrt(float64(len(v.Machines))))
	}
	for _, m := range v.Machines {
		if !m.Usable || !m.ProvenIdle() || needed[m.ID] {
			continue
		}
		t := f.typ(m.Type)
		idle := v.Now.Sub(m.IdleSince)
		if t == nil {
			continue
		}
		limit := f.cfg.Tuning.IdleTimeout
		if !m.Spot && t.SpotPrice < t.Price {
			limit = limit.Scale(t.SpotPrice / t.Price)
		}
		switch {
		case idle <= limit:
		case spare > 0 && idle < 2*f.cfg.Tuning.IdleTimeout:
			spare--
		default:
			acts.ScaleIn = append(acts.ScaleIn, m.ID)
			acts.ScaleInReasons = append(acts.ScaleInReasons, ScaleInReason{m.ID, "idle"})
		}
	}
}
