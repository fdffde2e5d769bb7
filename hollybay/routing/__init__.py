"""Routes and limits of the operator file: pure, no I/O, no clock, no global random source.

Reading the file
    problems            problems of a file, each with table, key, value and reason
    typed_tables        typed TOML tables, whose errors are all reported at once
    schema              the tables of the operator file

Matching requests
    paths               request paths as segments, and the patterns of routes
    persistent_map      maps as persistent values
    route_groups        the routes at one path of one host
    tree                the tree of path segments that holds the routes of a host
    matcher             precedence: which route a request matches, and which routes overlap

Limits
    limits              limits of a route for one class, each with the table that states it
    checks              limits against the four rules, the platform's caps and each other
    tenants             limits over all requests of a tenant
    token_bucket        rate limiting
    admission_control   admits or rejects requests under the policy in force

Policies
    class_declarations  compares the classes that the file declares with the settings
    route_compiler      routes and inherited limits
    compiled_policy     resolves the head of a request to its limits
    policy_compiler     compiles a whole file
    policy_intersection two policies in force together, while one replaces the other
    explain             what a policy decides for one request

Configuration as resources
    resource_tables     tables as bodies of resources, and the difference between a file and a state
    incremental_policy  a policy with the indexes that applying a change needs
    policy_update       derives the policy of a changed state
    state_compiler      compiles a whole state, and validates changes one after another

Server selection, retries and load shedding are decided in `hollybay.balancing`, which receives the limits of
a request as `hollybay.balancing.interface.Limits`.
"""
