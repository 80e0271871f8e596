// Command standin-2 holds the stand-ins of the second review: an engine, and a
// driver that starts the project's own processes and plays one case.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) > 2 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	if len(os.Args) == 3 && os.Args[1] == "case" {
		if play := cases[os.Args[2]]; play != nil {
			os.Exit(runCase(play))
		}
	}
	fmt.Fprintln(os.Stderr, "usage: standin-2 engine FLAGS | standin-2 case N")
	os.Exit(exitNotRun)
}
