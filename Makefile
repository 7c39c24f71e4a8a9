PYTHON ?= .venv/bin/python
BINARY := dist/teaselquay

.PHONY: install test promises failing-first scenarios replays slopes bench lint \
	format types demo up binary soak soak-fresh

install: .venv/installed

.venv/installed: pyproject.toml
	test -x .venv/bin/python || python3 -m venv .venv
	$(PYTHON) -m pip install --quiet --editable '.[dev]'
	touch .venv/installed

# All tests and doctests.
test: install binary
	$(PYTHON) -m pytest

# One line for each promise, with the command of a broken one.
promises: install
	$(PYTHON) -m tests.support.promises

# Shows that each proof fails while its mechanism is switched off.
failing-first: install
	$(PYTHON) -m tests.support.mutations

# Measures of both deployments against baselines, with their bounds.
scenarios: install
	$(PYTHON) -m scenarios

# Load patterns against the decisions, beside baselines.
replays: install
	$(PYTHON) -m replays

# Costs of control against the size of the system.
slopes: install
	$(PYTHON) -m slopes

# Time that one node adds, against a bare relay in the same run.
bench: install
	$(PYTHON) -m bench

lint: install
	.venv/bin/flake8 teaselquay tests demo bench slopes scenarios replays soak
	.venv/bin/ruff format --check --quiet .

format: install
	.venv/bin/ruff format --quiet .

types: install
	.venv/bin/mypy

# A fleet with stand-ins that tells and checks a story, in half a minute.
demo: install
	$(PYTHON) -m demo run

# The same fleet, left running in the foreground.
up: install
	$(PYTHON) -m demo up

# Faults from outside on the real program; SEED, SECONDS and VMS may be given.
SEED = 1
SECONDS = 20
VMS = 5
MINUTES = 5
soak: install
	$(PYTHON) -m soak --seed $(SEED) --seconds $(SECONDS) --vms $(VMS)

# The same with fresh seeds, for MINUTES.
soak-fresh: install
	$(PYTHON) -m soak --minutes $(MINUTES) --seconds $(SECONDS) --vms $(VMS)

# One executable file; see docs/OPERATING.md for what it needs.
binary: install $(BINARY)

$(BINARY): $(shell find teaselquay -type f -not -name '*.pyc') pyproject.toml
	mkdir -p dist
	.venv/bin/shiv --quiet --console-script teaselquay --compressed \
		--output-file $(BINARY) --python '/usr/bin/env python3' .
