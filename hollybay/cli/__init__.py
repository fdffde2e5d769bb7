"""The operator's command line and the demo. Nothing of it is imported by a node on the platform."""
