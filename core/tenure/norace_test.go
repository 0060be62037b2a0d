//go:build !race

package tenure_test

// modelSeeds is the number of seeded schedules.
const modelSeeds = 400
