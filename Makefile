# Front door. `make help` lists the targets.

GO ?= go
BIN := bin
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2

.PHONY: help build test test-unit test-integration lint fmt demo fuzz bench-requests bench-decisions capacity clean

help: ## list the targets
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*## /\t/' | expand -t 20

build: ## build all programs into bin/
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build ## start a small cell, use it, and check what came of it
	$(BIN)/saddlevane-demo -bin $(BIN)

test: test-unit test-integration ## run all tests

test-unit: ## run the tests beside the code
	$(GO) test -race ./cmd/... ./models/... ./modules/... ./routers/... ./services/...

test-integration: ## run the tests with real processes
	$(GO) test -race -count=1 -parallel 4 -timeout 20m ./tests/...

lint: ## check formatting, vet and staticcheck
	@out=$$($(GO) run $(GOFUMPT) -l .); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) run $(STATICCHECK) ./...

fmt: ## format the code
	$(GO) run $(GOFUMPT) -w .

bench-decisions: build ## measure placement, packing and waiting of the reducer
	$(BIN)/saddlevane-bench decisions

bench-requests: build ## measure requests with real processes, beside the baseline
	$(BIN)/saddlevane-bench -bin $(BIN) requests -baseline

capacity: build ## measure the slopes and rewrite the tables and plots of docs/CAPACITY.md
	$(BIN)/saddlevane-bench -docs docs capacity

fuzz: ## run each fuzz target for a minute, and random worlds with free seeds
	$(GO) test ./modules/strictyaml -run xxx -fuzz FuzzDecode -fuzztime 60s
	$(GO) test ./models/spec -run xxx -fuzz FuzzParse -fuzztime 60s
	$(GO) test ./models -run xxx -fuzz FuzzDecoders -fuzztime 60s
	SADDLEVANE_FREE_SEEDS=1 $(GO) test -count=20 ./services/core ./services/routing

clean: ## remove what was built
	rm -rf $(BIN)
