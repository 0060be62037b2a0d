package main

import "time"

// markTime is the time in which the rows of ended jobs are marked once the faults are over.
const markTime = 15 * time.Second

// checkStoredJobs checks that every stored job has ended or is running, also one of which
// no caller knows that it was accepted, and that all rows of ended jobs are marked.
func (s *soak) checkStoredJobs() {
	s.t.Helper()
	deadline := time.Now().Add(markTime)
	for {
		left := s.p.UnfinishedJobs()
		if len(left) == 0 {
			return
		}
		if time.Now().After(deadline) {
			s.t.Errorf("%d rows of jobs are not finished: %v", len(left), left[:min(len(left), 10)])
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
