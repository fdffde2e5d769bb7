"""Administration of a running node, free of I/O: admin requests, administrative drains, metrics.

Imported only by nodes whose configuration has an admin address (`admin`).

Modules
-------
requests
    Parsing of admin requests.
responses
    Responses to admin requests.
administrative_drains
    Servers that operators have drained, as an overlay over the server list of discovery.
metrics
    Metrics of the node in the Prometheus text format.
"""
