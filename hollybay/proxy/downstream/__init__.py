"""The side of the node that faces clients: listener, connections, admission under budgets."""
