package upgrade

import (
	"saffronbend/wire"
)

// These are copies of the types of the production version, that is, of the commit given in testdata/production.jsonl.
// They must never be changed: the production version drops every field that they lack when it rewrites a record. The
// protocols of the users, the workers, the cloud and the key-value store are the same in both versions, so both use the
// types of package wire.
type (
	oldLeader struct {
		Member string `json:"member"`
		Run    uint64 `json:"run"`
	}
	oldStatus struct {
		Status string `json:"status"`
	}
	oldOpen struct {
		Job      wire.Job `json:"job"`
		Accepted int64    `json:"accepted"`
		Chunk    int      `json:"chunk"`
		Over     string   `json:"over,omitempty"`
	}
	oldChunk struct {
		Done   string         `json:"d,omitempty"`
		Active []oldPlacement `json:"a,omitempty"`
		Write  string         `json:"w"`
	}
	oldPlacement struct {
		Task        int    `json:"t"`
		Machine     string `json:"m"`
		Attempt     uint64 `json:"n"`
		Incarnation uint64 `json:"s"`
	}
	oldAsks struct {
		Member   string       `json:"member"`
		Token    uint64       `json:"token"`
		Requests []oldRequest `json:"requests,omitempty"`
	}
	oldRequest struct {
		Asks []oldAsk `json:"asks"`
		All  bool     `json:"all,omitempty"`
	}
	oldAsk struct {
		Job     string `json:"job"`
		Machine string `json:"machine"`
		Count   int    `json:"count,omitempty"`
		Lease   int64  `json:"lease,omitempty"`
		Wait    uint64 `json:"wait,omitempty"`
	}
	oldLeaseResponses struct {
		Version uint64      `json:"version"`
		Results []oldResult `json:"results,omitempty"`
	}
	oldResult struct {
		Granted []int `json:"granted"`
	}
	oldRelay struct {
		Member string          `json:"member"`
		Token  uint64          `json:"token"`
		Report *wire.Heartbeat `json:"report"`
	}
	oldRelayResponse struct {
		Response *wire.HeartbeatResponse `json:"answer,omitempty"`
		Reached  bool                    `json:"reached,omitempty"`
	}
	oldAnnouncement struct {
		Member string `json:"member"`
		Token  uint64 `json:"token"`
	}
	oldUpdate struct {
		Token    uint64                      `json:"token"`
		Base     uint64                      `json:"base,omitempty"`
		Version  uint64                      `json:"version"`
		Now      int64                       `json:"now"`
		StateOK  bool                        `json:"state_ok"`
		Assign   map[string]string           `json:"assign"`
		Rooms    map[string]oldQuotaHeadroom `json:"rooms,omitempty"`
		Machines []*oldMachine               `json:"machines,omitempty"`
		Jobs     []*oldJob                   `json:"jobs,omitempty"`
		Gone     []string                    `json:"gone,omitempty"`
		Finished []oldFinished               `json:"finished,omitempty"`
	}
	oldQuotaHeadroom struct {
		CPUs *float64 `json:"cpus,omitempty"`
		GPUs *float64 `json:"gpus,omitempty"`
	}
	oldSpace struct {
		CPUs     float64 `json:"c"`
		GPUs     float64 `json:"g,omitempty"`
		MemoryGB float64 `json:"m"`
	}
	oldMachine struct {
		ID     string `json:"id"`
		Type   string `json:"t"`
		Zone   string `json:"z"`
		Spot   bool   `json:"s,omitempty"`
		Usable bool   `json:"u,omitempty"`
		oldSpace
		Keep     string     `json:"k,omitempty"`
		Images   []string   `json:"i,omitempty"`
		Fetching []string   `json:"f,omitempty"`
		Leases   []oldGroup `json:"l,omitempty"`
	}
	oldGroup struct {
		Job string `json:"j"`
		oldSpace
		Leases []oldLease `json:"l"`
	}
	oldLease struct {
		Attempt uint64 `json:"a"`
		Ends    int64  `json:"e"`
		Waiter  string `json:"w,omitempty"`
		Until   int64  `json:"u,omitempty"`
	}
	oldJob struct {
		ID       string `json:"id"`
		Class    string `json:"class"`
		Team     string `json:"team"`
		Priority int    `json:"prio"`
		oldSpace
		Image     string         `json:"image"`
		ImageGB   float64        `json:"image_gb"`
		Types     []string       `json:"types,omitempty"`
		Zone      *string        `json:"zone,omitempty"`
		Spot      bool           `json:"spot,omitempty"`
		OneZone   bool           `json:"one_zone,omitempty"`
		Gang      bool           `json:"gang,omitempty"`
		ZoneMax   int            `json:"zone_max,omitempty"`
		InZone    map[string]int `json:"in_zone,omitempty"`
		Estimate  int64          `json:"estimate"`
		Waiting   int            `json:"waiting"`
		Active    int            `json:"active"`
		Running   int            `json:"running"`
		Done      int            `json:"done"`
		NotBefore int64          `json:"not_before,omitempty"`
		Born      int64          `json:"born"`
		Due       int64          `json:"due,omitempty"`
		Since     int64          `json:"since"`
		Avoid     []string       `json:"avoid,omitempty"`
	}
	oldFinished struct {
		Job     string `json:"job"`
		Class   string `json:"class"`
		Team    string `json:"team"`
		Machine string `json:"machine"`
		Run     int64  `json:"run"`
	}
)
