package main

import "time"

// playCrash kills engines while they send streams, some of which have no length. Others
// start at their addresses later.
func playCrash(s *site) {
	s.startModelSite("60ms")
	for round := range 30 {
		s.wave(round, func(e *engineProcess) {
			s.note("%s crashes", e.id)
			e.kill()
		})
		if s.trouble {
			s.startAgain(round)
		}
		time.Sleep(1500 * time.Millisecond)
	}
}
