package fleet

import (
	"slices"
	"strconv"

	"saffronbend/internal/drain"
	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// pool is a kind of machines that can be requested from the cloud.
type pool struct {
	machineType, zone string
	spot              bool
}

func poolOf(request *wire.ScaleOutRequest) pool {
	return pool{request.Type, request.Zone, request.Spot}
}

// Bounds of the time for which nothing is requested from a pool after a refusal; it doubles from one to the next.
const (
	minPoolBackoff = 5 * micros.Second
	maxPoolBackoff = 30 * micros.Second
)

// scaleOutRequests holds the requests whose outcome isn't known, and the backoff of each pool that has refused.
type scaleOutRequests struct {
	fencingToken wire.FencingToken
	serial       int                             // of the last request in this term
	pending      map[string]wire.ScaleOutRequest // by request identifier
	backoff      map[pool]micros.Duration        // the last one, until a request succeeds
	blockedUntil map[pool]micros.Timestamp
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
func (r *scaleOutRequests) create(from pool, count int) wire.ScaleOutRequest {
	r.serial++
	request := wire.ScaleOutRequest{
		RequestID: "r-" + strconv.FormatUint(uint64(r.fencingToken), 10) + "-" + strconv.Itoa(r.serial),
		Type:      from.machineType,
		Zone:      from.zone,
		Spot:      from.spot,
		Count:     count,
	}
	r.pending[request.RequestID] = request
	return request
}

// completed applies the outcome of a request. A pool that has refused it, or filled it in part, is empty for a while.
func (r *scaleOutRequests) completed(now micros.Timestamp, request wire.ScaleOutRequest, created int) {
	delete(r.pending, request.RequestID)
	from := poolOf(&request)
	if created >= request.Count {
		delete(r.backoff, from)
		return
	}
	wait := min(max(2*r.backoff[from], minPoolBackoff), maxPoolBackoff)
	r.backoff[from] = wait
	r.blockedUntil[from] = now.Add(wait)
}

// isBlocked reports whether a pool backs off.
func (r *scaleOutRequests) isBlocked(now micros.Timestamp, from pool) bool {
	return now < r.blockedUntil[from]
}

// isPending reports whether the outcome of a request for a pool isn't known.
func (r *scaleOutRequests) isPending(from pool) bool {
	for _, request := range r.pending {
		if from == poolOf(&request) {
			return true
		}
	}
	return false
}

// canRequest reports whether machines of a type in a zone that may run the tasks can be requested.
func (f *Fleet) canRequest(now micros.Timestamp, machineType *wire.MachineType, zone string, d *demand) bool {
	for _, spot := range []bool{true, false} {
		from := pool{machineType.Name, zone, spot}
		if d.Allows(machineType, zone, spot) && !f.requests.isBlocked(now, from) {
			return true
		}
	}
	return false
}

// isVacated reports whether a drain vacates the machines of a type in a zone.
func (f *Fleet) isVacated(machineType, zone string) bool {
	return slices.ContainsFunc(f.vacatedPools, func(vacated drain.VacatedPool) bool {
		return vacated.Includes(machineType, zone)
	})
}

// canAvoidVacated reports whether machines that may run the tasks can be requested where nothing is vacated. It is
// false if nothing is vacated at all.
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
