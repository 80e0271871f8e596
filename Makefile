GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

all: build

build:
	$(GO) build -o build/ . ./cmd/standin

demo: build
	@bash scripts/demo.sh

# The TestCrowd tests measure the memory of processes, one at a time and apart from
# other load.
test:
	$(GO) test -race -count=1 -timeout 30m -skip '^TestCrowd$(if $(SKIP),|$(SKIP))' ./...
	$(GO) test -race -count=1 -timeout 30m -p 1 -run '^TestCrowd' $(if $(SKIP),-skip '$(SKIP)') ./platform/soak ./internal/system

lint:
	@out=$$($(TOOL) gofumpt -l .); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi
	$(GO) vet ./...
	$(TOOL) revive -set_exit_status ./...

measure:
	$(GO) test -count=1 -timeout 60m -run '^TestMeasure' -v ./internal/measure/spread/ ./internal/measure/requests/ ./internal/agreement/raft/ ./internal/system/ -args -measure -out $(CURDIR)/measure-out

capacity:
	$(GO) test -run '^$$' -bench . -benchtime 300ms -count 3 ./internal/measure/capacity/

# Scores the sites of the regression runs on the users' bench, whose folder is
# BENCH: make regression BENCH=FOLDER WHY="what changed". It is not part of CI.
FLEETBENCH ?= $(BENCH)/bin/fleetbench
SITES ?= large/cordada-egret-large further/edpag-rounds further-grown/edpag-rounds-grown grown/cordada-egret-grown grown/brunner-routen-grown

regression:
	@for site in $(SITES); do $(FLEETBENCH) score "$(BENCH)/$$site.toml" --jobs 3 --why "$(WHY)" || exit 1; done

proofs:
	bash scripts/proofs.sh

clean:
	rm -rf build measure-out

.PHONY: all build demo test lint measure regression capacity proofs clean
