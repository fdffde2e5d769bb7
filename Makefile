# On a fresh machine each target sets up what it needs first: a folder .venv-dev with everything pinned in
# pyproject.toml. A node on the platform has .venv alone, from requirements.txt, as deploy/balancer.toml says.
VENV := .venv-dev
READY := $(VENV)/.ready
# Each group of tests/groups.py in one worker, the longest begun first. Some tests start processes of their own, so
# that all tests get fewer workers than there are processors; the pure ones as many as there are.
PARALLEL := --dist loadgroup --no-loadscope-reorder
WORKERS := 6
.PHONY: demo test quick bench check-model platform setup

demo: $(READY)
	$(VENV)/bin/hollybay demo

test: $(READY) platform
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(VENV)/bin/python -m pytest -q -n $(WORKERS) $(PARALLEL) --durations=20

# For every step: lint, and the tests that need no sockets, processes or long searches.
quick: $(READY)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/python -m pytest -q -n auto $(PARALLEL) -m "pure and not long"

bench: $(READY)
	$(VENV)/bin/python -m benchmarks

# The core of a change of policy, searched through: some minutes.
check-model: $(READY)
	$(VENV)/bin/python -m hollybay.consensus.model_check
	$(VENV)/bin/python -m hollybay.consensus.batch_model_check

setup: $(READY)

# Written last: a folder that is half made is made anew.
$(READY): pyproject.toml
	python3 -m venv --clear $(VENV)
	$(VENV)/bin/pip -q install -e '.[cli,dev,tier,accord]'
	touch $(READY)

platform:
	bash -c "$$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"
