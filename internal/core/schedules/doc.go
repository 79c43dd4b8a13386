// Package schedules holds tests that run several instances of the decision
// packages over one fake log, under a virtual clock, through seeded schedules
// of faults. It has no code outside its tests.
//
// Each schedule is a function of its seed. The number of schedules is small in
// an ordinary run; -schedules and -seed run more or other ones.
package schedules
