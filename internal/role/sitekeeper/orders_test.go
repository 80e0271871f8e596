package sitekeeper

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/agreement/node"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/site/sitestate"
)

// restartableKeeper is a keeper of a group that can be stopped and started with its data.
type restartableKeeper struct {
	*Keeper
	t     *testing.T
	cfg   node.Config
	stop  context.CancelFunc
	ended chan error
}

func (k *restartableKeeper) start() {
	k.t.Helper()
	var err error
	if k.Keeper, err = New(k.cfg, "r", metrics.New("Keeper")); err != nil {
		k.t.Fatal(err)
	}
	// The keepers answer in the end, however slow the machine is.
	k.Keeper.lookupTimeout = 20 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	k.stop, k.ended = cancel, make(chan error, 1)
	go func(keeper *Keeper, ended chan<- error) { ended <- keeper.Run(ctx) }(k.Keeper, k.ended)
}

func (k *restartableKeeper) end() {
	k.stop()
	if err := <-k.ended; err != nil {
		k.t.Error(err)
	}
}

func startRestartableKeepers(t *testing.T, n int) []*restartableKeeper {
	t.Helper()
	var out []*restartableKeeper
	addresses := listenAddresses(t, n)
	for _, a := range addresses {
		cfg := node.Config{
			Address: a, InitialMembers: addresses, DataDir: t.TempDir(), Peers: func() []string { return nil }, Voters: n, Durable: true,
		}
		k := &restartableKeeper{t: t, cfg: cfg}
		k.start()
		t.Cleanup(func() { k.end() })
		out = append(out, k)
	}
	return out
}

// connect returns the context of the orders on a connection that is opened now.
func (k *restartableKeeper) connect(ctx context.Context) context.Context {
	return withDate(ctx, k.now())
}

// order sends an order on a connection.
func (k *restartableKeeper) order(connection context.Context, d id.Domain, out bool) error {
	return k.Propose(connection, sitestate.Command{Withdraw: &sitestate.DomainChange{Domain: d, Out: out}})
}

// acknowledge sends an order on new connections until it is acknowledged. Only a keeper
// without a quorum may leave it without an acknowledgement.
func (k *restartableKeeper) acknowledge(ctx context.Context, d id.Domain, out bool) {
	k.t.Helper()
	for {
		err := k.order(k.connect(ctx), d, out)
		if err == nil {
			return
		}
		if errors.Is(err, sitestate.ErrOutdated) || ctx.Err() != nil {
			k.t.Fatalf("order %t for %s: %v", out, d, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// confirmed returns the state including every order that was acknowledged before.
func (k *restartableKeeper) confirmed(ctx context.Context) sitestate.State {
	k.t.Helper()
	for {
		s, err := k.Confirmed(ctx)
		if err == nil {
			return s
		}
		if ctx.Err() != nil {
			k.t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHoldsOrderAfterRepeatedOnesIsTaken guards against failure domains that no order
// returns to service: repeated orders advance the position of the domain beyond that of
// the state, and a keeper that starts from its snapshot dates orders by what it finds
// there. An order that was given up before the repeated ones has no effect at any keeper.
func TestHoldsOrderAfterRepeatedOnesIsTaken(t *testing.T) {
	const repeats = 300 // More than the log entries between two snapshots.
	keepers := startRestartableKeepers(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	keepers[0].acknowledge(ctx, "z", true)
	keepers[2].confirmed(ctx)
	givenUp := keepers[2].connect(ctx)
	for range repeats {
		keepers[1].acknowledge(ctx, "z", true)
	}
	err := keepers[2].order(givenUp, "z", false)
	for ; err != nil && !errors.Is(err, sitestate.ErrOutdated) && ctx.Err() == nil; err = keepers[2].order(givenUp, "z", false) {
		time.Sleep(50 * time.Millisecond)
	}
	if !errors.Is(err, sitestate.ErrOutdated) {
		t.Errorf("order that was given up: error %v, want %v", err, sitestate.ErrOutdated)
	}
	for _, k := range keepers {
		k.end()
	}
	for _, k := range keepers {
		k.start()
	}
	for i, k := range keepers {
		if s := k.confirmed(ctx); s.Withdrawn["z"] == (i%2 == 1) {
			t.Errorf("keeper %d after the restart: withdrawn %v", i, s.Withdrawn)
		}
		k.acknowledge(ctx, "z", i%2 == 1)
	}
}
