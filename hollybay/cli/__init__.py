"""The command line `hollybay` and the demo. A node in production imports nothing from this package."""
