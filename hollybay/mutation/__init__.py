"""Mutation testing: defects planted in copies of the code, to measure what simulation and tests detect.

tree          copies of the packages with one changed text (mutants), and the runs that may kill them
planted       manually chosen defects, each with a seed of the simulation that finds it
soak_defects  the same for the soak
"""
