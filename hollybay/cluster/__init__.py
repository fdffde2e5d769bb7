"""Cluster runs: nodes, servers, clients and discovery as real processes, with faults.

plan           the TOML plan of a run: sizes, groups, faults, bounds; checked as strictly as an operator file
records        events of one process, in its own log file, readable after a kill at any byte
merged_run     the event logs merged into one ledger and checked against the four rules
evenness       how evenly load was spread, with the counting noise of a Poisson stream subtracted
models         baselines on the same arrivals: one dispatcher with full knowledge, and random by capacity
run_validity   whether the harness was late or starved of CPU, which makes the figures of a run invalid
links          simulated faults on the connections between two processes
fork_server    forks all other processes, so that imports are paid for once
processes      entry points of those processes: node, servers, registry, clients and others
control        calls between the harness and its processes
harness        runs a plan
report         figures as tables, JSON and a plot
change_stream  a run with a stream of resource changes, and the checks on its results
planted        defects and faults planted in node processes
"""
