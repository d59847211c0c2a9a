package fleet

import (
	"slices"
	"strconv"

	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// pool identifies the machines of one type in one zone, either spot or on-demand, that can be requested from the cloud.
type pool struct {
	machineType, zone string
	spot              bool
}

func poolOf(request *wire.ScaleOutRequest) pool {
	return pool{request.Type, request.Zone, request.Spot}
}

// Bounds of the backoff, which is the time for which nothing is requested from a pool after a refusal. It doubles with
// each consecutive refusal.
const (
	minPoolBackoff = 5 * micros.Second
	maxPoolBackoff = 30 * micros.Second
)

// scaleOutRequests holds the requests whose outcome isn't known yet, and the backoff of each pool that has refused one.
type scaleOutRequests struct {
	fencingToken wire.FencingToken
	serial       int                             // number of the last request of this term
	pending      map[string]wire.ScaleOutRequest // requests with unknown outcome, by request identifier
	backoff      map[pool]micros.Duration        // the last backoff, until a request is served in full
	blockedUntil map[pool]micros.Timestamp       // end of the backoff
}

func newScaleOutRequests(fencingToken wire.FencingToken) scaleOutRequests {
	return scaleOutRequests{
		fencingToken: fencingToken,
		pending:      map[string]wire.ScaleOutRequest{},
		backoff:      map[pool]micros.Duration{},
		blockedUntil: map[pool]micros.Timestamp{},
	}
}

// create returns a new request, whose outcome is pending.
func (r *scaleOutRequests) create(p pool, count int) wire.ScaleOutRequest {
	r.serial++
	request := wire.ScaleOutRequest{
		RequestID: "r-" + strconv.FormatUint(uint64(r.fencingToken), 10) + "-" + strconv.Itoa(r.serial),
		Type:      p.machineType,
		Zone:      p.zone,
		Spot:      p.spot,
		Count:     count,
	}
	r.pending[request.RequestID] = request
	return request
}

// recordResult records the outcome of a request. A pool that created fewer machines than were requested is taken to be
// out of capacity and backs off.
func (r *scaleOutRequests) recordResult(now micros.Timestamp, request wire.ScaleOutRequest, created int) {
	delete(r.pending, request.RequestID)
	p := poolOf(&request)
	if created >= request.Count {
		delete(r.backoff, p)
		return
	}
	backoff := min(max(2*r.backoff[p], minPoolBackoff), maxPoolBackoff)
	r.backoff[p] = backoff
	r.blockedUntil[p] = now.Add(backoff)
}

// isBlocked reports whether nothing is requested from a pool because of its backoff.
func (r *scaleOutRequests) isBlocked(now micros.Timestamp, p pool) bool {
	return now < r.blockedUntil[p]
}

// isPending reports whether there is a request to a pool whose outcome isn't known yet.
func (r *scaleOutRequests) isPending(p pool) bool {
	for _, request := range r.pending {
		if p == poolOf(&request) {
			return true
		}
	}
	return false
}

// canRequest reports whether machines of a type in a zone, spot or on-demand, may run the demand's tasks and can be
// requested now. It returns false if the pools that may run them are backing off.
func (f *Fleet) canRequest(now micros.Timestamp, machineType *wire.MachineType, zone string, d *demand) bool {
	for _, spot := range []bool{true, false} {
		p := pool{machineType.Name, zone, spot}
		if d.Allows(machineType, zone, spot) && !f.requests.isBlocked(now, p) {
			return true
		}
	}
	return false
}

// isVacated reports whether a drain vacates all machines of a type in a zone.
func (f *Fleet) isVacated(machineType, zone string) bool {
	return slices.ContainsFunc(f.vacatedPools, func(vacated drain.VacatedPool) bool {
		return vacated.Includes(machineType, zone)
	})
}

// canAvoidVacated reports whether machines that may run the demand's tasks can be requested from a pool that isn't
// vacated. It returns false if no pool is vacated, since then there is none to avoid.
func (f *Fleet) canAvoidVacated(now micros.Timestamp, d *demand) bool {
	if len(f.vacatedPools) == 0 {
		return false
	}
	for i := range f.types {
		machineType := &f.types[i]
		for _, zone := range machineType.Zones {
			if !f.isVacated(machineType.Name, zone) && f.canRequest(now, machineType, zone, d) {
				return true
			}
		}
	}
	return false
}
