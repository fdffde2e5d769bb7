"""The project's benchmarks: `make bench`, or `python -m benchmarks NAME`. They are not part of the tests."""
