PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
SEED ?= 1
STEPS ?= 20000

MINUTES ?= 1

.PHONY: demo check lint test process-test bench soak fault-soak experiment plot \
	capacity format clean

$(STAMP): pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m figford.tools.demo

check: lint test

lint: $(STAMP)
	$(BIN)/black --check --quiet figford || $(BIN)/black --check figford
	$(BIN)/flake8 figford
	$(BIN)/lint-imports

test: $(STAMP)
	$(BIN)/python -m pytest

process-test: $(STAMP)
	$(BIN)/python -m pytest figford/tests/test_processes.py

bench: $(STAMP)
	$(BIN)/python -m figford.tools.bench
	$(BIN)/python -m figford.tools.bench_control
	$(BIN)/python -m figford.tools.bench_limits
	$(BIN)/python -m figford.tools.bench_crashes
	$(BIN)/python -m figford.tools.bench_retries

soak: $(STAMP)
	$(BIN)/python -m figford.tools.soak --seed $(SEED) --steps $(STEPS)

fault-soak: $(STAMP)
	$(BIN)/python -m figford.tests.platform.faultsoak --seed $(SEED) --minutes $(MINUTES)

experiment: $(STAMP)
	$(BIN)/python -m figford.tools.experiment
	$(BIN)/python -m figford.tools.traffic
	$(BIN)/python -m figford.tools.loadworld

plot: $(STAMP)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[plot]'
	$(BIN)/python -m figford.tools.experiment --picture docs/experiments/repair.png

capacity: $(STAMP)
	$(BIN)/python -m figford.tools.capacity

format: $(STAMP)
	$(BIN)/black figford

clean:
	rm -rf $(VENV) build *.egg-info
