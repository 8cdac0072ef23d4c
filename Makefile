SEED ?= 1
HASH_SEED ?= 1
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: test lint demo generate clean

test: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check --output-format concise .
	$(VENV)/bin/lint-imports
	PYTHONHASHSEED=$(HASH_SEED) $(VENV)/bin/python -m tests.run --schedule-seed $(SEED)

demo: $(STAMP)
	$(VENV)/bin/python -m benchmarks.demo --seed $(SEED)

generate: $(STAMP)
	$(VENV)/bin/pip install --quiet -c requirements.lock '.[generate]'
	$(VENV)/bin/python proto/generate.py

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache
