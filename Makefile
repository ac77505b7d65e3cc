# The commands of README.md. Each builds what it needs; `setup` installs missing Debian packages.
SHELL := /bin/bash
SANITIZE ?=
BUILD ?= build$(if $(SANITIZE),-$(SANITIZE))
JOBS ?= $(shell nproc)
SECONDS_TO_RUN ?= $(if $(filter command line,$(origin SECONDS)),$(SECONDS),60)

.PHONY: build setup demo test soak bench capacity lint format docs

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DSANITIZE=$(SANITIZE) > $(BUILD).log 2>&1 || { cat $(BUILD).log; exit 1; }
	@rm -f $(BUILD).log
	@ninja -C $(BUILD) -j $(JOBS) --quiet

setup:
	@tools/setup

# Runs the main job: stand-ins, entries, agents, load, a roll-out and a withdrawal. KEEP=1 leaves it up.
demo: build
	@tools/demo $(BUILD)
	@echo "the entry on stand-ins of the users' platform:"
	@$(BUILD)/bin/reedramp-platform-demo

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4

# Random schedules against the ten promises, for SECONDS=n (60); FIRST_SEED=n starts elsewhere.
soak: build
	@REEDRAMP_SOAK_SECONDS=$(SECONDS_TO_RUN) REEDRAMP_FIRST_SEED=$(or $(FIRST_SEED),100001) $(BUILD)/bin/promises_test "[soak]"

bench: build
	@tools/bench $(BUILD)

# What processes cost at several sizes, up to a hundred of them, and what follows for docs/CAPACITY.md.
capacity: build
	@tools/capacity $(BUILD)

lint: build
	@tools/lint $(BUILD)

format: setup
	@git ls-files -- '*.cpp' '*.hpp' | grep -v '/generated/' | xargs clang-format -i
