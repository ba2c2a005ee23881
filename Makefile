PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test test-busy demo lint format-check docs-check bench binary binary-check ci

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

test: setup
	$(BIN)/python -m pytest

# Tests of KNOWN-RED.txt, or of TESTS, beside BUSY processes, TIMES times.
test-busy: setup
	$(BIN)/python -m bench.busy --busy $(or $(BUSY),6) --times $(or $(TIMES),10) $(TESTS)

demo: setup
	$(BIN)/python -m bench.demo

lint: setup
	$(BIN)/ruff check .

format-check: setup
	$(BIN)/ruff format --check .

docs-check: setup
	$(BIN)/python -m mulberrydeck.settings.reference --check docs/settings.md

bench: setup
	$(BIN)/python -m bench.report

binary: setup
	$(BIN)/python -m bench.binary

binary-check: binary
	$(BIN)/python -m bench.binary_check

ci: format-check lint docs-check test
