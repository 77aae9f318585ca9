PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test lint format types demo
.PHONY: tour process-faults compare-mapping capacity bench fault-matrix log-check
.PHONY: golden measure soak evidence-model planted-faults

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python -m wasabigw_demo

tour: setup
	$(BIN)/python -m wasabigw_demo.tour run

process-faults: setup
	$(BIN)/python -m wasabigw_demo faults

soak: setup
	sh deploy/build.sh
	PYTHONPATH=platform $(BIN)/python -m wasabigw_soak --seeds 1-50

compare-mapping: setup
	$(BIN)/python -m wasabigw_measure.compare_mapping

capacity: setup
	$(BIN)/python -m wasabigw_measure.capacity --docs docs

bench: setup
	$(BIN)/python -m wasabigw_measure.bench

fault-matrix: setup
	$(BIN)/python -m wasabigw_verify.matrix

log-check: setup
	$(BIN)/python -m wasabigw_verify.log_check --bound long

evidence-model: setup
	$(BIN)/python -m wasabigw_verify.evidence_model --examples 5000

planted-faults: setup
	$(BIN)/python -m wasabigw_verify.evidence_model --worlds aimed --planted all \
		--examples 2000 --seed 92

golden: setup
	$(BIN)/python -m wasabigw_verify.golden

measure: setup
	$(BIN)/python -m wasabigw_measure.decisions
