"""A reverse-proxy node, its control plane and its test rigs. This package itself imports nothing."""
