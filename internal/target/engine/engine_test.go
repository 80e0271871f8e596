package engine_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/standin/simengine"
	"egretproxy/internal/target/backend"
	_ "egretproxy/internal/target/engine"
)

// TestHoldsStaleFenceIsRefused checks that an engine with fencing refuses a
// delayed order that carries a lower fencing number than one it accepted.
func TestHoldsStaleFenceIsRefused(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := simengine.New(simengine.Config{Slots: 1, TokenInterval: time.Second, Fencing: true})
	s := httptest.NewServer(e.Handler(ctx))
	defer s.Close()
	b, err := backend.New("engine://" + strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	order := func(fence uint64) error {
		return b.Load(ctx, backend.Order{Assignment: view.Assignment{Bundle: "v1", Model: "m", Fence: id.Fence(fence)}})
	}
	if err := order(7); err != nil {
		t.Fatal(err)
	}
	if err := order(6); !errors.Is(err, backend.ErrStaleFence) {
		t.Errorf("an order with an old fence got %v", err)
	}
	if err := order(8); err != nil {
		t.Error(err)
	}
}
