# Build, test, demo and benchmark targets; the README names `make demo` and
# `make test`.
PACKAGES := base http route member state node entry platform rampentry \
	soak ctl standin bench
DIRS := $(foreach p,$(PACKAGES),$(if $(wildcard $(p)/makefile),$(p)))
SHELL := /bin/bash

all: $(DIRS:%=build-%)

# Each package builds after the libraries that it links.
build-%:
	@$(MAKE) -s --no-print-directory -C $*
build-http build-route build-member build-state: build-base
build-node build-ctl build-standin build-bench: \
	$(foreach p,base http route member state,$(if $(wildcard $(p)/makefile),build-$(p)))
build-entry: build-base build-route build-member
build-platform: build-entry
build-rampentry: build-platform
build-soak: build-rampentry
# The tests of node start the stand-ins and link helpers of theirs.
build-node: build-standin
build-bench: $(foreach p,node standin,$(if $(wildcard $(p)/makefile),build-$(p)))

# Install the packages of packages.apt that are missing.
setup:
	@mk/setup.sh

# The build command of deploy/system.toml: rampentry alone, under target/.
PLATFORM_DIRS := base route member entry platform rampentry
platform:
	@for d in $(PLATFORM_DIRS); do $(MAKE) -s --no-print-directory -j4 \
		-C $$d OUT=$(CURDIR)/target/build BIN=$(CURDIR)/target/bin \
		TESTS= PKGS="glib-2.0 jansson talloc libsodium libxxhash \
		libtirpc inih argtable2" || exit 1; done

demo: setup
	@$(MAKE) --no-print-directory -j all >/dev/null
	@demo/run.sh $(CHATS)

test: setup
	@$(MAKE) --no-print-directory -j all
	@mk/test.sh

lint: setup
	@mk/lint.sh

format:
	@clang-format -i $$(mk/sources.sh)

gen:
	@schema/gen.sh

bench: setup
	@$(MAKE) --no-print-directory -j all >/dev/null
	@mk/bench.sh

# Write docs/MEASURED.md from the rows of the last `make bench`.
measured:
	@mk/measured.sh

capacity: setup
	@$(MAKE) --no-print-directory -j all >/dev/null
	@bench/capacity.sh

proof: setup
	@$(MAKE) --no-print-directory -j all >/dev/null
	@bench/proof.sh

clean:
	rm -rf build bin demo/run

.PHONY: platform all setup demo test lint format gen bench measured capacity proof clean
