"""What the control plane costs by the size of its state: measured slopes, and where they bend.

    python -m benchmarks.capacity --help

target        the size that is expected, and the budgets
fits          straight-line and power fits with residuals; pure
measurement   what a measurement is, and what it may come to
samples       servers, routes and tenants to measure with
servers, routes, requests, tenants, starts, resource_states, control, streams
              one module for each part that is measured
registry      the one table of all measurements
runner        each size of each measurement in a process of its own
report        the table, JSON and the plot
budgets       slopes held against the budgets, over or under
page          the tables of docs/CAPACITY.md
"""
