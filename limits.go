package saffronbend

import (
	"saffronbend/internal/cloud"
	"saffronbend/internal/settings"
	"saffronbend/internal/state"
)

const (
	// urgentWriteShare is the share of the store's writes a second that is kept for submissions and cancellations,
	// whichever controllers they come to. The rest is the leader's, for progress, which gives way should several need
	// their share at once.
	urgentWriteShare = 0.375
	// leaderCloudShare is the leader's share of the cloud's requests.
	leaderCloudShare = 0.7
	// followerCloudDivisor divides what would be a controller's part of the cloud's requests while it does not lead.
	followerCloudDivisor = 3
)

// rateLimits sets what this controller may request of the store and the cloud. The leader does nearly all the writing
// and all the scaling.
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
