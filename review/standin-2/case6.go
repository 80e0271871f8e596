package main

import (
	"fmt"
	"time"
)

// playCrash sends streams to engines whose answers have no length, and kills one of
// the engines while they run. Another one starts at its address seconds later.
func playCrash(s *site) {
	s.startModelSite("60ms")
	for round := range 12 {
		crashing := s.engines[round%engineCount]
		results := s.streams(90, func() {
			if s.trouble {
				s.note("%s crashes", crashing.id)
				crashing.kill()
			}
		})
		s.judgeStreams(results)
		if s.trouble {
			crashing.id = fmt.Sprintf("%s-%d", crashing.id, round)
			crashing.args[3] = crashing.id
			s.launch(crashing.process)
			time.Sleep(1500 * time.Millisecond)
		}
	}
}
