PYTHON ?= python3
WORKSPACE ?= clearsight
BIN = .venv/bin

.PHONY: setup test lint demo bench capacity soak

setup: .venv/ready

.venv/ready: requirements.lock
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch .venv/ready

test: setup lint
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

demo: setup
	$(BIN)/python -m bench demo --workspace $(WORKSPACE)

bench: setup
	$(BIN)/python -m bench run

capacity: setup
	$(BIN)/python -m bench capacity

soak: setup
	$(BIN)/python -m soak --seeds 10
