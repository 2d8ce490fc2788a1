PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
SEED ?= 1
STEPS ?= 20000

.PHONY: demo check lint test process-test bench soak experiment capacity clean

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

format: $(STAMP)
	$(BIN)/black figford

clean:
	rm -rf $(VENV) build *.egg-info
