# Every target sets up what it needs; `make demo` and `make test` work in a
# fresh clone on a machine that has Python 3.11 and pip.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint format soak fuzz bench bench-long clean

setup: $(STAMP)

$(STAMP): requirements.lock requirements-dev.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock -r requirements-dev.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: setup
	$(BIN)/python -m bench.demo

test: setup
	$(BIN)/python -m tests.run

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

soak: setup
	$(BIN)/python -m soak

fuzz: setup
	$(BIN)/python -m fuzz

bench: setup
	$(BIN)/python -m bench.run --short

bench-long: setup
	$(BIN)/python -m bench.run --long

clean:
	rm -rf $(VENV) build src/*.egg-info
