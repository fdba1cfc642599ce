# Every target sets up the virtual environment first if it is missing or outdated.
VENV := .venv
PYTHON ?= python3
BIN := $(VENV)/bin
# An environment of another kind of machine or Python is made anew.
BUILT_FOR := $(shell uname -m)-$(shell $(PYTHON) -c 'import platform; print(platform.python_version())')
INSTALLED := $(VENV)/.installed-$(BUILT_FOR)
WIRE := packages/wire/tanagerbend_wire

.PHONY: test demo bench lint format generate clean

$(INSTALLED): requirements.txt requirements-dev.txt packages.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps -r packages.txt
	touch $@

lint: $(INSTALLED)
	$(BIN)/ruff format --check --quiet .
	$(BIN)/flake8 packages platform bench
	$(BIN)/lint-imports

format: $(INSTALLED)
	$(BIN)/ruff format .

test: lint
	$(BIN)/pytest -q

demo: $(INSTALLED)
	$(BIN)/python -m tanagerbend_standins.demo

bench: $(INSTALLED)
	$(BIN)/python -m bench

# Needs the Thrift compiler 0.17; the generated code is committed.
generate:
	thrift --gen py:slots -out $(WIRE)/generated packages/wire/control.thrift
	rm -f $(WIRE)/generated/__init__.py
	touch $(WIRE)/generated/__init__.py

clean:
	rm -rf $(VENV)
