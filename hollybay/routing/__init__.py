"""Routes and limits from the operator file: pure, no I/O, no clock, no global random source.

problems   what is wrong with a file, each with table, key, value and reason
schema     the file's form: typed tables, every error of a file at once
paths      a request's path as segments, and the patterns of routes
tree       the tree of path segments in which routes stand, as persistent values
matcher    the compiled matcher, and the overlaps that it cannot decide
limits     the limits of a route for one class, and where each comes from
checks     limits against the four rules and against each other
tenants    limits over all requests of a tenant
plan       the whole file, compiled for one set of settings
narrow     the narrower of two plans, while one gives way to the other
gate       admission: rates, requests in flight, and what outlives a reload

resource_tables  the tables as the bodies of resources, and a file's difference to a state of them
resource_plan    the plan of a state of resources, which takes a change in without being compiled anew

Which server, whether to repeat and what to refuse for want of room stays with `lynxrouter`, which hears a
request's limits through `hollybay.balancing.interface.Limits`.
"""
