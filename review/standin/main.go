// Command standin plays the cases of the review. It starts the project's programs
// with the commands of the deploy file, and is itself the clients, the engines, the
// operator and the platform. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the time after which a case is given up.
const longest = 115 * time.Second

// A scenario plays a case. It returns how the rule was broken, or "".
type scenario func(s *site, trouble bool) (string, error)

var scenarios = map[string]scenario{
	"late-withdrawal": lateWithdrawal, "replacement": replacement, "forgotten-leave": forgottenLeave,
	"old-check": oldCheck, "lost-order": lostOrder,
}

var errNotRun = errors.New("the case couldn't run")

func main() { os.Exit(play()) }

func play() int {
	root := flag.String("root", ".", "folder of the repository")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run := scenarios[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSite(*root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(s, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = errNotRun
	case <-time.After(longest):
		r.err = fmt.Errorf("%w: it took too long", errNotRun)
	}
	switch {
	case r.err != nil:
		rec.add("RESULT: not run: %v", r.err)
		fmt.Println("not run:", r.err)
		return 2
	case r.broken != "":
		rec.add("RESULT: broken: %s", r.broken)
		fmt.Println("broken:", r.broken)
		return 1
	}
	rec.add("RESULT: held")
	fmt.Println("held")
	return 0
}

// until polls a condition.
func until(limit time.Duration, what string, holds func() bool) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errNotRun, what)
}

// startSmallSite starts a machine with a keeper and an entry in each zone.
func startSmallSite(s *site) ([]*machine, error) {
	var out []*machine
	for i, z := range zones {
		out = append(out, s.addFrontend(1+i, "frontend-"+z+"-1", z, "entry", "keeper"))
		s.seeds = append(s.seeds, out[i].controlPlane())
	}
	for _, m := range out {
		if err := m.start(true); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// configure sends a configuration until it is acknowledged.
func configure(s *site, version int, to ...*machine) error {
	body := configuration(version, plainRoutes(), plainServices())
	if _, ok := s.order(fmt.Sprintf("configuration %d", version), "PUT", words["configuration"], body, 20*time.Second, to...); !ok {
		return fmt.Errorf("%w: configuration %d was not acknowledged", errNotRun, version)
	}
	return nil
}

// awaitService waits until every machine serves a request.
func awaitService(c *clients, machines ...*machine) error {
	for _, m := range machines {
		err := until(15*time.Second, m.name+" doesn't serve", func() bool {
			return m.isReady() && c.send(m, "GET", readPrefix).status == 200
		})
		if err != nil {
			return err
		}
	}
	return nil
}
