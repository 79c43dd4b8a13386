# Targets to build, test and measure medlarhold. `make help` lists them.

GO            ?= go
LINT_VERSION  := v2.12.2
GOBIN         := $(shell $(GO) env GOPATH)/bin
LINT          := $(GOBIN)/golangci-lint
# golangci-lint keeps absolute paths in its cache and would reuse those of
# another checkout with the same content, so each checkout has its own cache: a
# folder of the user's cache that is named by the path of the checkout.
LINT_CACHE    := $(or $(XDG_CACHE_HOME),$(HOME)/.cache)/medlarhold-lint$(CURDIR)
BIN           := bin

# Parameters of soak and histories: the number of seeds and the first seed. For
# histories, FROM=0 takes the first seed from the clock, and MINUTES limits the
# running time if it is not 0.
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
	GOLANGCI_LINT_CACHE="$(LINT_CACHE)" $(LINT) run --allow-parallel-runners ./...

vet: ## run go vet
	$(GO) vet ./...

check: ## fail if gofmt would change any code
	@out=$$(gofmt -l cmd internal platform test); if [ -n "$$out" ]; then echo "not gofmt-clean:"; echo "$$out"; exit 1; fi

test: check vet lint ## run gofmt, go vet, the linter and all tests
	bash scripts/test.sh

race: ## run all tests with the race detector
	$(GO) test -race ./...

demo: ## start two zones on loopback, send one request of each kind and stop
	$(GO) run ./test/demo

capacity: ## measure the cost of control traffic and work, and update the tables of docs/CAPACITY.md
	$(GO) run ./cmd/medlarhold-capacity

soak: ## inject random faults into real processes on a simulated platform (SEEDS, FROM)
	$(GO) test ./platform/soak -count=1 -v -parallel 4 -timeout 60m -soak.seeds $(SEEDS) -soak.from $(FROM)

histories: ## simulate fleets with random faults and check the guarantees (SEEDS, FROM, MINUTES)
	$(GO) run ./internal/fleet/histories --seeds $(SEEDS) --from $(FROM) --minutes $(MINUTES)

measure: ## compare scheduling decisions with the baseline policies (takes several minutes)
	$(GO) run ./cmd/medlarhold-measure

bench: ## benchmark one scheduling decision against a naive scheduler
	$(GO) test ./internal/measure -run '^$$' -bench . -benchtime 3000x

clean: ## remove build output and the linter cache
	rm -rf $(BIN) "$(LINT_CACHE)"
