"""A tier of real processes on one machine: nodes, servers, clients and discovery, with faults between them.

plan       the TOML plan of a run: sizes, groups, faults, thresholds; checked as strictly as an operator file
records    what each process saw, in a file of its own that can be read after a kill at any byte
books      those files as one ledger, put to the four rules
evenness   how evenly the load was spread, with the counting noise of a Poisson stream taken out
models     the same arrivals at one node that sees everything, and drawn by capacity
trust      whether the rig itself was late or starved; then a run has no figure
links      what may happen to the bytes between two processes
zygote     the process that forks all others, imports paid once
roles      what those processes are: node, servers, registry, clients
control    the calls between the rig and its processes
rig        plays a plan
report     figures as tables, JSON and a plot
"""
