// Package scale tests the deciding parts of a controller (Resource Manager, scheduler and fleet) together at the size
// of the largest fleets, without I/O and on a simulated clock.
package scale
