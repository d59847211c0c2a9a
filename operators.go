package saffronbend

import (
	"context"

	"saffronbend/internal/drain"
	"saffronbend/internal/follower"
	"saffronbend/internal/leader"
	"saffronbend/internal/leadership"
	"saffronbend/internal/operator"
	"saffronbend/internal/rebalance"
	"saffronbend/internal/settings"
)

var (
	_ operator.DrainController       = (*operatorService)(nil)
	_ operator.RebalancingController = (*operatorService)(nil)
)

// operatorService forwards operators' commands to the current leader term, if this controller leads.
type operatorService struct {
	settings   *settings.Settings
	leadership *leadership.Driver
}

// Leader implements operator.LeaderLocator.
func (s *operatorService) Leader() (addr string, here bool) {
	role := s.leadership.Role()
	if role.Term != nil {
		return "", true
	}
	addr, _ = follower.PeerAddr(s.settings, role.Leader) // "" if the leader is unknown
	return addr, false
}

// drainTerm returns the current term, or an error if drains are disabled or this controller does not lead.
func (s *operatorService) drainTerm() (*leader.Term, error) {
	if !s.settings.Tuning.Drains.Enabled {
		return nil, operator.ErrDrainsDisabled
	}
	return s.currentTerm()
}

// rebalancingTerm returns the current term, or an error if rebalancing is disabled or this controller does not lead.
func (s *operatorService) rebalancingTerm() (*leader.Term, error) {
	if !s.settings.Tuning.Rebalancing.Enabled {
		return nil, operator.ErrRebalancingDisabled
	}
	return s.currentTerm()
}

func (s *operatorService) currentTerm() (*leader.Term, error) {
	if term := s.leadership.Role().Term; term != nil {
		return term, nil
	}
	return nil, operator.ErrUnavailable
}

// StartDrain implements operator.DrainController.
func (s *operatorService) StartDrain(ctx context.Context, request drain.Request) (drain.Status, error) {
	term, err := s.drainTerm()
	if err != nil {
		return drain.Status{}, err
	}
	return term.StartDrain(ctx, request)
}

// ChangeDrain implements operator.DrainController.
func (s *operatorService) ChangeDrain(ctx context.Context, name string, to drain.State) (drain.Status, error) {
	term, err := s.drainTerm()
	if err != nil {
		return drain.Status{}, err
	}
	return term.ChangeDrain(ctx, name, to)
}

// ListDrains implements operator.DrainController.
func (s *operatorService) ListDrains(ctx context.Context, name string) ([]drain.Status, error) {
	term, err := s.drainTerm()
	if err != nil {
		return nil, err
	}
	return term.ListDrains(ctx, name)
}

// RebalancingStatus implements operator.RebalancingController.
func (s *operatorService) RebalancingStatus(ctx context.Context, machines int) (rebalance.Status, error) {
	term, err := s.rebalancingTerm()
	if err != nil {
		return rebalance.Status{}, err
	}
	return term.RebalancingStatus(ctx, machines)
}

// PauseRebalancing implements operator.RebalancingController.
func (s *operatorService) PauseRebalancing(ctx context.Context, paused bool) (rebalance.Status, error) {
	term, err := s.rebalancingTerm()
	if err != nil {
		return rebalance.Status{}, err
	}
	return term.PauseRebalancing(ctx, paused)
}
