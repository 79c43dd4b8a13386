# medlarhold: build, test and measure. `make help` lists the targets.

GO            ?= go
LINT_VERSION  := v2.12.2
GOBIN         := $(shell $(GO) env GOPATH)/bin
LINT          := $(GOBIN)/golangci-lint
BIN           := bin

SEEDS         ?= 1000
FROM          ?= 0
MINUTES       ?= 0

.PHONY: soak histories help build fmt lint vet check test race demo capacity measure bench clean
help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build the programs into bin/
	$(GO) build -o $(BIN)/ ./cmd/...

fmt: ## format the code
	gofmt -w cmd internal platform test

$(LINT):
	$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: $(LINT) ## run the linter
	$(LINT) run --allow-parallel-runners ./...

vet: ## run go vet
	$(GO) vet ./...

check: ## fail on code that gofmt would change
	@out=$$(gofmt -l cmd internal platform test); if [ -n "$$out" ]; then echo "not gofmt-clean:"; echo "$$out"; exit 1; fi

test: check vet lint ## formatter, vet, linter and all tests
	bash scripts/test.sh

race: ## all tests under the race detector
	$(GO) test -race ./...

demo: ## start two zones on loopback, send one request of each kind, stop all
	$(GO) run ./test/demo

capacity: ## measure the cost of control and rewrite the tables of docs/CAPACITY.md
	$(GO) run ./cmd/medlarhold-capacity

soak: ## play random faults on real processes before stand-ins of the users' platform; SEEDS, FROM
	$(GO) test ./platform/soak -count=1 -v -parallel 4 -timeout 60m -soak.seeds $(SEEDS) -soak.from $(FROM)

histories: ## play histories of fresh seeds under faults; SEEDS, FROM, MINUTES
	$(GO) run ./internal/fleet/histories --seeds $(SEEDS) --from $(FROM) --minutes $(MINUTES)

measure: ## measure the decisions against the baselines (some minutes)
	$(GO) run ./cmd/medlarhold-measure

bench: ## benchmark one decision against the naive scheduler
	$(GO) test ./internal/measure -run '^$$' -bench . -benchtime 3000x

clean: ## remove what the build made
	rm -rf $(BIN)
