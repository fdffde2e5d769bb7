"""Cost of the control plane by the size of its state: measured slopes, and where they are not linear.

    python -m benchmarks.capacity --help

target        the expected size, and the budgets
fits          linear and power-law fits with residuals; pure
measurement   definition of a measurement, and its possible outcomes
samples       generated servers, routes and tenants
servers, routes, requests, tenants, starts, resource_states, control, streams
              the measurements, one module for each part of the control plane
registry      the table of all measurements
runner        runs each size of each measurement in a separate process
report        results as a table, JSON and a plot
budgets       compares the slopes with the budgets
page          the tables of docs/CAPACITY.md
"""
