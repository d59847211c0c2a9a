package saffronbend

import (
	"saffronbend/internal/cloud"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
)

const (
	// urgentWriteShare is the share of the store's write rate that is reserved for job submissions and cancellations.
	// Each controller may use all of it, since any controller may receive them. The leader uses the rest for deferrable
	// writes, mainly of progress. The store's client lowers the rate of these writes while the store rejects changes,
	// as it does when the controllers together exceed its limit.
	urgentWriteShare = 0.375
	// leaderCloudShare is the leader's share of the cloud's request rate.
	leaderCloudShare = 0.7
	// followerCloudDivisor reduces a follower's request rate to the cloud. The rate is the follower's equal share of
	// the cloud's limit among all controllers, divided by this number.
	followerCloudDivisor = 3
)

// rateLimits adjusts this controller's rate limits for deferrable writes to the store and for requests to the cloud.
// The leader gets most of both rates, since it does nearly all the writing and all the scaling. A follower makes no
// deferrable writes.
type rateLimits struct {
	settings *settings.Settings
	store    *state.Client
	cloud    *cloud.Client
}

// SetLeading implements leadership.RateLimits.
func (l *rateLimits) SetLeading(leading bool) {
	deployment := &l.settings.Deployment
	if leading {
		l.store.SetDeferrableRate(deployment.State.Effective().WriteRPS * (1 - urgentWriteShare))
		l.cloud.SetRate(deployment.Cloud.RPS * leaderCloudShare)
		return
	}
	l.store.SetDeferrableRate(0)
	l.cloud.SetRate(l.settings.PerController(deployment.Cloud.RPS) / followerCloudDivisor)
}
