"""Defects put into the node on purpose, to measure what simulation and tests see of them.

tree       a copy of the packages with one file changed, and what is played in it
planted    defects of the project's own choosing, each with the seed that finds it
mutants    defects by machine: sampled with cosmic-ray, judged by seeds and by tests (`make mutation`)
"""
