"""The side of the node that faces servers: pools, attempts, connections."""
