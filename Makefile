PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test format clean

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(STAMP)
	$(BIN)/jayvalve demo

test: $(STAMP)
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/python -m pytest -n 6 --dist loadgroup --junitxml=.test-report.xml

format: $(STAMP)
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

clean:
	rm -rf $(VENV) .test-report.xml
