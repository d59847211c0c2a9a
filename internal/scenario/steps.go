package scenario

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"saffronbend/internal/standin"
	"saffronbend/wire"
)

// step carries out one line of the steps.
func (w *world) step(line string) error {
	line, want, _ := strings.Cut(line, "=>")
	f := strings.Fields(line)
	want = strings.TrimSpace(want)
	switch f[0] {
	case "submit": // ID [key=value...] [at MEMBER] => CODE
		return w.submit(f[1:], want)
	case "known": // ID [key=value...]: an earlier service has accepted it
		j, run, fails, err := w.job(f[1:])
		if err != nil {
			return err
		}
		w.referee.Submitted(j, run, fails)
	case "poll": // ID [at MEMBER] => CODE or STATUS
		return w.expect(http.MethodGet, f[1], "", f[2:], want)
	case "withdraw": // ID [at MEMBER] => CODE or STATUS
		w.referee.Asked(f[1])
		return w.expect(http.MethodPost, f[1], "/"+wire.ActionCancel, f[2:], want)
	case "ready": // all controllers can take requests
		for _, m := range w.members {
			if err := w.until(10*time.Second, []string{"healthy", m, "yes"}); err != nil {
				return err
			}
		}
		return w.until(10*time.Second, []string{"leader", "any"})
	case "wait": // SECONDS
		time.Sleep(seconds(number(f[1])))
	case "until": // SECONDS CONDITION
		return w.until(seconds(number(f[1])), f[2:])
	case "never": // SECONDS CONDITION
		return w.never(seconds(number(f[1])), f[2:])
	case "check": // CONDITION
		return w.check(f[1:])
	case "accept": // ID [fields]: a user submits until it is accepted
		return w.insist(func(member string) error { return w.submit(append(f[1:], "at", member), "") }, f[1])
	case "cancel": // ID: a user cancels until it is confirmed
		w.referee.Asked(f[1])
		return w.insist(func(member string) error {
			return w.expect(http.MethodPost, f[1], "/"+wire.ActionCancel, []string{"at", member}, string(wire.JobCancelled))
		}, f[1])
	case "looks": // SECONDS ID...
		w.looks(seconds(number(f[1])), f[2:])
	case "stream": // EVERY_S SECONDS [fields]
		return w.stream(seconds(number(f[1])), seconds(number(f[2])), f[3:])
	case "calm": // SECONDS: the troubles are over
		return w.calm(seconds(number(f[1])))
	case "crash", "start", "restart":
		return w.process(f[0], f[1:])
	case "cut", "refuse", "deaf", "mute", "heal":
		mode := map[string]standin.Mode{"cut": standin.Hold, "refuse": standin.Refuse, "deaf": standin.Deaf, "mute": standin.Mute, "heal": standin.Pass}[f[0]]
		return w.link(f[1], f[2], mode)
	case "drain": // start|pause|resume|cancel NAME [key=value...] [at MEMBER] => ok or CODE
		return w.drain(f[1:], want)
	case "spread": // status|pause|resume [at MEMBER] => ok or CODE
		return w.spread(f[1:], want)
	case "state":
		return w.stateFault(f[1:])
	case "cloud":
		return w.cloudFault(f[1:])
	case "pick": // NAME JOB MACHINE,...
		return w.pick(f[1], f[2], strings.Split(f[3], ","))
	case "hang", "resume", "sicken", "slow", "die", "take", "notice", "copies", "keep", "deliver", "repeats", "launched":
		return w.machineFault(f[0], f[1:])
	default:
		return fmt.Errorf("unknown word")
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// at takes "at MEMBER" off the end of the words.
func (w *world) at(f []string) ([]string, string) {
	if i := slices.Index(f, "at"); i >= 0 {
		return f[:i], w.member(f[i+1])
	}
	for _, m := range w.members {
		if w.nodes[m].cancel != nil {
			return f, m
		}
	}
	return f, w.members[0]
}

// member resolves "leader" and "follower".
func (w *world) member(name string) string {
	leader := w.leader()
	switch name {
	case "leader":
		return leader
	case "follower":
		for _, m := range w.members {
			if m != leader && w.nodes[m].cancel != nil {
				return m
			}
		}
	}
	return name
}

func (w *world) submit(f []string, want string) error {
	f, member := w.at(f)
	j, run, fails, err := w.job(f)
	if err != nil {
		return err
	}
	w.referee.Submitted(j, run, fails)
	code, st, err := w.tell(http.MethodPost, member, wire.PathJobs, j.ID, j)
	if err != nil {
		return err
	}
	return compare(code, st, want)
}

// job reads a job's id and fields.
func (w *world) job(f []string) (j wire.Job, run time.Duration, fails bool, err error) {
	j = wire.Job{ID: f[0], Class: "work", Team: "red", Kind: wire.KindArray, PriorityName: "normal", Tasks: 1, CPUs: 1, MemoryGB: 1,
		Image: "img", ImageGB: 1, AllowSpot: true, EstimateS: 10}
	run = 10 * time.Second
	for _, kv := range f[1:] {
		k, v, _ := strings.Cut(kv, "=")
		switch k {
		case "tasks":
			j.Tasks = int(number(v))
		case "cpus":
			j.CPUs = number(v)
		case "mem":
			j.MemoryGB = number(v)
		case "team":
			j.Team = v
		case "shape":
			j.Kind = wire.JobKind(v)
		case "urgency":
			j.PriorityName = v
		case "image":
			j.Image = v
		case "gb":
			j.ImageGB = number(v)
		case "run":
			run = seconds(number(v))
			j.EstimateS = number(v)
		case "guess": // the owner's estimate, where the run takes another time
			j.EstimateS = number(v)
		case "save":
			j.CheckpointSaveS, j.CheckpointIntervalS = number(v), 5
		case "zone":
			j.Zone = &v
		case "types":
			j.MachineTypes = strings.Split(v, ",")
		case "together":
			j.SameZone = true
		case "scatter":
			j.SpreadZones = true
		case "ordinary":
			j.AllowSpot = false
		case "fails":
			fails = true
		case "long": // names that many bytes of machine types that there are not
			j.MachineTypes = w.typeNames()
			for n := int(number(v)); n > 0; n -= 200 {
				j.MachineTypes = append(j.MachineTypes, strings.Repeat("x", min(n, 190)))
			}
		default:
			return j, run, fails, fmt.Errorf("unknown field %q", k)
		}
	}
	return j, run, fails, nil
}

func (w *world) typeNames() []string {
	var names []string
	for _, t := range w.types {
		names = append(names, t.Name)
	}
	return names
}

func compare(code int, status, want string) error {
	if want != "" && want != fmt.Sprint(code) && want != status {
		return fmt.Errorf("answer %d %q, want %s", code, status, want)
	}
	return nil
}

func (w *world) expect(method, id, suffix string, f []string, want string) error {
	_, member := w.at(f)
	code, st, err := w.poll(method, member, id, suffix)
	if err != nil {
		return err
	}
	return compare(code, st, want)
}

func (w *world) poll(method, member, id, suffix string) (int, string, error) {
	return w.tell(method, member, wire.PathJobs+"/"+id+suffix, id, nil)
}

// tell asks on a user's behalf, and has the referee hear the answer.
func (w *world) tell(method, member, path, id string, body any) (int, string, error) {
	asked := time.Now()
	code, st, err := w.ask(method, member, path, body)
	if err == nil {
		w.referee.Told(id, asked, code, st.State)
	}
	return code, string(st.State), err
}

// insist repeats a request at one controller after another until it is carried out.
func (w *world) insist(ask func(member string) error, id string) (err error) {
	const patience = 60
	for try := range patience {
		if err = ask(w.members[try%len(w.members)]); err == nil && slices.Contains(w.referee.Accepted(), id) {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("not carried out within %d tries: %w", patience, err)
}

// looks has users ask for some jobs at all controllers in turn, and repeat their submission, again and again
// within milliseconds, while the steps go on.
func (w *world) looks(limit time.Duration, ids []string) {
	end := time.Now().Add(limit)
	for _, id := range ids {
		go func() {
			for i := 0; time.Now().Before(end) && w.ctx.Err() == nil; i++ {
				for n, member := range w.members {
					if j, known := w.referee.Job(id); known && i%len(w.members) == n && slices.Contains(w.referee.Accepted(), id) {
						_, _, _ = w.tell(http.MethodPost, member, wire.PathJobs, id, j)
					} else if known {
						_, _, _ = w.poll(http.MethodGet, member, id, "")
					}
				}
				time.Sleep(70 * time.Millisecond)
			}
		}()
	}
}

// stream submits jobs of one task again and again; every fourth is cancelled soon after.
func (w *world) stream(every, limit time.Duration, fields []string) error {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("run-%06d", 500000+i)
		j, run, fails, err := w.job(append([]string{id}, fields...))
		if err != nil {
			return err
		}
		w.referee.Submitted(j, run, fails)
		member := w.members[i%len(w.members)]
		code, _, err := w.tell(http.MethodPost, member, wire.PathJobs, id, j)
		if err != nil {
			return err
		}
		if i%4 == 3 && code < 300 {
			w.referee.Asked(id)
			wait := time.Duration(i%5) * time.Second
			time.AfterFunc(wait, func() {
				for try := 0; try < 60 && w.ctx.Err() == nil; try++ {
					if code, _, _ := w.poll(http.MethodPost, w.members[(i+try)%len(w.members)], id, "/"+wire.ActionCancel); code == http.StatusOK {
						return
					}
					time.Sleep(time.Second)
				}
			})
		}
		time.Sleep(every)
	}
	return nil
}

const step = 100 * time.Millisecond

func (w *world) until(limit time.Duration, cond []string) error {
	end := time.Now().Add(limit)
	for {
		err := w.check(cond)
		if err == nil || !time.Now().Before(end) {
			return err
		}
		time.Sleep(step)
	}
}

func (w *world) never(limit time.Duration, cond []string) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(step) {
		if w.check(cond) == nil {
			return fmt.Errorf("it came to be")
		}
	}
	return nil
}

// calm lets time pass without troubles: each accepted job must be answered for by every controller
// that runs, and none may be left waiting beside room.
func (w *world) calm(limit time.Duration) error {
	const forgotten = 75 * time.Second
	begun := time.Now()
	answered := map[string]time.Time{}
	for end := begun.Add(limit); time.Now().Before(end); time.Sleep(5 * time.Second) {
		for _, id := range w.referee.Accepted() {
			ok := true
			for _, m := range w.members {
				code, _, err := w.poll(http.MethodGet, m, id, "")
				if err != nil {
					return err
				}
				ok = ok && (code == http.StatusOK || w.nodes[m].cancel == nil)
			}
			since := begun
			if t, before := answered[id]; before {
				since = t
			}
			if ok {
				answered[id] = time.Now()
			} else if time.Since(since) > forgotten {
				return fmt.Errorf("no question about %s is answered for %s", id, time.Since(since))
			}
		}
		w.referee.LookForRoom(w.cloud.Workers())
	}
	return nil
}

// check tests a condition.
func (w *world) check(f []string) error {
	got, want := "", f[len(f)-1]
	switch f[0] {
	case "job": // ID STATUS, as any controller that answers tells it
		for _, m := range w.members {
			code, st, err := w.poll(http.MethodGet, m, f[1], "")
			if err != nil {
				return err
			}
			got = st
			if code == http.StatusOK {
				break
			}
		}
	case "late-starts": // N, at most: starts of cancelled jobs after that was confirmed
		if n := w.referee.LateStarts(); n <= int(number(want)) {
			return nil
		}
		got = fmt.Sprint(w.referee.LateStarts())
	case "orders": // MACHINE N, at most: direct orders that have come in
		wk := w.cloud.Worker(f[1])
		if wk == nil {
			return fmt.Errorf("no machine %q", f[1])
		}
		if wk.Orders() <= int(number(want)) {
			return nil
		}
		got = fmt.Sprint(wk.Orders())
	case "starts": // ID N
		got = fmt.Sprint(w.referee.Starts(f[1]))
	case "runs": // ID N: how often a gang has begun to run
		got = fmt.Sprint(w.referee.Runs(f[1]))
	case "saved": // ID SECONDS, at least: progress that a gang has saved
		if s := w.workers.Gangs.Saved(f[1]); s >= seconds(number(want)) {
			return nil
		}
		got = w.workers.Gangs.Saved(f[1]).String()
	case "on": // ID N
		got = fmt.Sprint(len(w.referee.On(f[1])))
	case "task": // ID INDEX MACHINE
		got = w.referee.On(f[1])[int(number(f[2]))]
	case "leader": // MEMBER, any or none
		got = w.leader()
		if want == "any" && got != "" || want == "none" && got == "" {
			return nil
		}
	case "moved": // MEMBER: another than this leads
		if l := w.leader(); l != "" && l != want {
			return nil
		}
		got = w.leader()
	case "answered": // ID yes: by every controller that runs
		got = "yes"
		for _, m := range w.members {
			if w.nodes[m].cancel == nil {
				continue
			}
			if code, _, err := w.poll(http.MethodGet, m, f[1], ""); err != nil || code != http.StatusOK {
				got = "not by " + m
			}
		}
	case "drain": // NAME state STATE, NAME gone N, NAME blocked WORD
		return w.checkDrain(f[1:])
	case "spread": // waits WORDS, held WORDS, decides yes
		return w.checkSpread(f[1:])
	case "starts-most": // ID N, at most
		if w.referee.Starts(f[1]) <= int(number(want)) {
			return nil
		}
		got = fmt.Sprint(w.referee.Starts(f[1]))
	case "stopped": // N, at most: tasks that were disturbed by an order, as the workers' logs show
		if w.stopped() <= int(number(want)) {
			return nil
		}
		got = fmt.Sprint(w.stopped())
	case "most-on": // JOB N, at most: tasks of a job on one machine
		if w.mostOn(f[1]) <= int(number(want)) {
			return nil
		}
		got = fmt.Sprint(w.mostOn(f[1]))
	case "disturbed": // N, at least: disturbances that the workers' logs show
		all, _ := standin.AuditDisturbances(w.referee.Events(), w.budgets, 0)
		if len(all) >= int(number(want)) {
			return nil
		}
		got = fmt.Sprint(len(all))
	case "machines": // N
		got = fmt.Sprint(w.cloud.Up())
	case "zone": // ZONE N: machines there
		got = fmt.Sprint(w.cloud.InZone(f[1]))
	case "rented": // N
		got = fmt.Sprint(w.cloud.Hired())
	case "records": // PREFIX N
		got = fmt.Sprint(w.state.Count(f[1]))
	case "refusals": // most N
		if n := w.state.Refusals(); n <= int(number(want)) {
			return nil
		}
		got = fmt.Sprint(w.state.Refusals())
	case "healthy": // MEMBER yes|no
		code, _, err := w.ask(http.MethodGet, w.member(f[1]), wire.PathHealth, nil)
		if err != nil {
			return err
		}
		got = map[bool]string{true: "yes", false: "no"}[code == http.StatusOK]
	default:
		return fmt.Errorf("unknown condition %q", f[0])
	}
	if got != want {
		return fmt.Errorf("%s is %q, want %q", strings.Join(f[:len(f)-1], " "), got, want)
	}
	return nil
}

func (w *world) process(what string, f []string) error {
	members := f
	if f[0] == "all" {
		members = w.members
	}
	for _, name := range members {
		m := w.member(name)
		if w.nodes[m] == nil {
			return fmt.Errorf("no controller %q", m)
		}
		if what != "start" {
			w.crash(m)
		} else if w.nodes[m].cancel != nil {
			continue
		}
		if what != "crash" {
			if err := w.start(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// hosts resolves a name to addresses: a controller, a machine, state, cloud, or all
// controllers.
func (w *world) hosts(name string) ([]string, error) {
	switch name {
	case "state":
		return []string{stateIP}, nil
	case "cloud":
		return []string{cloudIP}, nil
	case "controllers":
		var ips []string
		for _, m := range w.members {
			ips = append(ips, w.nodes[m].ip)
		}
		return ips, nil
	}
	if n := w.nodes[w.member(name)]; n != nil {
		return []string{n.ip}, nil
	}
	if ip, ok := standin.MachineIP(name); ok {
		return []string{ip}, nil
	}
	return nil, fmt.Errorf("no host %q", name)
}

func (w *world) link(a, b string, m standin.Mode) error {
	as, err := w.hosts(a)
	if err != nil {
		return err
	}
	bs, err := w.hosts(b)
	if err != nil {
		return err
	}
	for _, x := range as {
		for _, y := range bs {
			if x != y {
				w.net.Link(x, y, m)
			}
		}
	}
	return nil
}

// times reads how many times something is to happen: once, if nothing else is said.
func times(f []string) int {
	if len(f) == 0 {
		return 1
	}
	return int(number(f[0]))
}

func (w *world) stateFault(f []string) error {
	switch f[0] {
	case "outage", "back":
		w.state.Outage(f[0] == "outage")
	case "watches": // SECONDS: by how much their answers lag
		w.state.WatchesLag(seconds(number(f[1])))
	case "refuse", "serve": // MEMBER
		w.state.Refuse(w.nodes[w.member(f[1])].ip, f[0] == "refuse")
	case "late": // PREFIX SECONDS
		w.state.Late(f[1], seconds(number(f[2])), times(f[3:]))
	case "repeats": // SECONDS
		w.repeats["state"].Repeat(seconds(number(f[1])))
	case "lose": // PREFIX
		w.state.LoseAnswer(f[1], times(f[2:]))
	case "limits": // BYTES OPS WRITES_PER_S
		w.state.Limit(standin.StateLimits{ValueBytes: int(number(f[1])), Ops: int(number(f[2])), WriteRPS: number(f[3])})
	default:
		return fmt.Errorf("unknown word")
	}
	return nil
}

func (w *world) cloudFault(f []string) error {
	switch f[0] {
	case "outage", "back":
		w.cloud.Outage(f[0] == "outage")
	case "repeats": // SECONDS
		w.repeats["cloud"].Repeat(seconds(number(f[1])))
	case "lose":
		w.cloud.LoseAnswer()
	default:
		return fmt.Errorf("unknown word")
	}
	return nil
}

// pick has a name stand for the last of the machines that still runs a task of a job. Over real connections it is not certain
// beforehand which of the machines that are drained will be empty by a step.
func (w *world) pick(name, job string, machines []string) error {
	busy := slices.Collect(maps.Values(w.referee.On(job)))
	for _, id := range slices.Backward(machines) {
		if slices.Contains(busy, id) {
			w.picked[name] = id
			w.log.Info("picked", "name", name, "machine", id)
			return nil
		}
	}
	return fmt.Errorf("no task of %s runs on any of these machines", job)
}

func (w *world) machineFault(what string, f []string) error {
	if id, ok := w.picked[f[0]]; ok {
		f = append([]string{id}, f[1:]...)
	}
	wk := w.cloud.Worker(f[0])
	if wk == nil && what == "resume" {
		return nil // it is gone
	}
	if wk == nil {
		return fmt.Errorf("no machine %q", f[0])
	}
	switch what {
	case "hang":
		wk.Hang()
	case "resume":
		wk.Resume()
	case "launched": // MACHINE TASK ATTEMPT TOKEN, by an earlier service
		wk.Launched(f[1], uint64(number(f[2])), uint64(number(f[3])))
	case "sicken":
		wk.Sicken()
	case "slow": // MACHINE TIMES
		wk.Slow(number(f[1]))
	case "keep":
		wk.Keep(times(f[1:]))
	case "deliver":
		wk.Deliver()
	case "die":
		w.cloud.Die(f[0])
	case "take":
		w.cloud.Take(f[0])
	case "notice": // MACHINE SECONDS
		wk.Notice(seconds(number(f[1])))
	case "copies": // MACHINE SECONDS
		wk.Copies(seconds(number(f[1])))
	case "repeats": // MACHINE SECONDS
		wk.Repeats(seconds(number(f[1])))
	}
	return nil
}
