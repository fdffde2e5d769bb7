"""Defects planted in copies of the code on purpose, to measure what simulation and tests see of them.

tree       copies of the packages with one text changed (mutants), and what is run in them to kill them
planted    defects of the project's own choosing, each with the seed that finds it
"""
