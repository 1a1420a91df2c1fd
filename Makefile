VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed
DEPLOYMENT := museum

.PHONY: setup run test lint format faults soak capacity docs dist dist-test clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

run: setup
	$(BIN)/coltsfootsail demo --deployment $(DEPLOYMENT)

lint: setup
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/flake8 src tests tools

format: setup
	$(BIN)/ruff format src tests

test: lint
	PYTHONHASHSEED=0 $(BIN)/pytest --numprocesses auto --dist worksteal --durations 10

faults: setup
	PYTHONHASHSEED=0 $(BIN)/pytest tests/faults --long --numprocesses auto --dist worksteal --durations 10

SEED := 1
SEEDS := 1
SECONDS := 20

soak: setup
	$(BIN)/python -m tests.soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

clean:
	rm -rf $(VENV) build dist

IMPORTS_MB = $(BIN)/python -c "import coltsfootsail.$(1) as n; \
    print(int(open('/proc/self/statm').read().split()[1]) * 4096 / 1e6)"

capacity: setup
	$(BIN)/python -m coltsfootsail._capacity docs/CAPACITY.md \
	    $$($(call IMPORTS_MB,_node)) $$($(call IMPORTS_MB,_gateway))

dist: setup
	$(BIN)/python tools/make_dist.py

dist-test: dist
	COLTSFOOTSAIL_PROGRAM="python3 -I -S dist/coltsfootsail" \
	    $(BIN)/pytest tests/test_cli.py

docs: setup
	$(BIN)/python tools/make_operations.py docs/OPERATIONS.md
