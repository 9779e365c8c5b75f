# Every target sets up what it needs; nothing outside .venv is touched.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PYTEST := CI=true $(BIN)/python -m pytest -p no:cacheprovider
# The instances that the tests start need processor time too.
WORKERS := $(shell cores=$$(nproc); echo $$(( cores < 2 ? 1 : cores / 2 )))

.PHONY: demo test lint format soak bench thrift clean

$(VENV)/installed: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m tanagerwalk demo

# Both parts always run; a failure in either fails the target.
test: $(VENV)/installed
	@status=0; \
	$(PYTEST) -m "not serial" --numprocesses $(WORKERS) --dist worksteal || status=1; \
	$(PYTEST) -m serial || status=1; \
	exit $$status

lint: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

soak: $(VENV)/installed
	PYTHONPATH=.:test $(BIN)/python -m soak --seeds 50

bench: $(VENV)/installed
	$(BIN)/python -m bench

# The generated code is committed; this needs Debian's thrift-compiler.
thrift:
	thrift --gen py:package_prefix=tanagerwalk.peers.gen. -out tanagerwalk/peers/gen tanagerwalk/peers/exchange.thrift
	thrift --gen py:package_prefix=tanagerwalk.peers.gen. -out tanagerwalk/peers/gen tanagerwalk/peers/bills.thrift
	thrift --gen py:package_prefix=tanagerwalk.peers.gen. -out tanagerwalk/peers/gen tanagerwalk/peers/loads.thrift
	thrift --gen py:package_prefix=tanagerwalk.peers.gen. -out tanagerwalk/peers/gen tanagerwalk/peers/changes.thrift

clean:
	rm -rf $(VENV)
