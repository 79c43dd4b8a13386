// Package schedules holds tests that run several instances of the packages
// claim and lease over one fake log, under a virtual clock, through seeded
// schedules of faults. It has no code outside its tests.
//
// Each schedule is determined by its seed. An ordinary run takes only a small
// number of schedules; the flags -schedules and -seed set how many run and which
// seed is the first.
package schedules
