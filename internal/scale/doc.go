// Package scale tests the decision-making components of a controller (resource manager, scheduler and fleet) together,
// with up to 4,000 machines, without I/O and on a simulated clock.
package scale
