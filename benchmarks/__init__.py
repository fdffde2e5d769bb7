"""The project's own benchmarks: `make bench`, or `python -m benchmarks NAME`. No part of the tests."""
