"""What operators ask of a running node, pure: calls, servers out by hand, figures, who shares its address.

Imported only where a node is given an address for operators (`admin` in its configuration).
"""
