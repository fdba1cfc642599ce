# Every target sets up the virtual environment first if it is missing or outdated.
VENV := .venv
PYTHON ?= python3
BIN := $(VENV)/bin
WIRE := packages/wire/tanagerbend_wire

.PHONY: test demo bench lint format generate clean

$(VENV)/.installed: requirements.txt requirements-dev.txt packages.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps -r packages.txt
	touch $@

lint: $(VENV)/.installed
	$(BIN)/ruff format --check --quiet .
	$(BIN)/flake8 packages platform bench
	$(BIN)/lint-imports

format: $(VENV)/.installed
	$(BIN)/ruff format .

test: lint
	$(BIN)/pytest -q

demo: $(VENV)/.installed
	$(BIN)/python -m tanagerbend_standins.demo

bench: $(VENV)/.installed
	$(BIN)/python -m bench

# Needs the Thrift compiler 0.17; the generated code is committed.
generate:
	thrift --gen py:slots -out $(WIRE)/generated packages/wire/control.thrift
	rm -f $(WIRE)/generated/__init__.py
	touch $(WIRE)/generated/__init__.py

clean:
	rm -rf $(VENV)
