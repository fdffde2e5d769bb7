"""Fakes of the node's environment, and the ledger from which the four rules are checked.

Fake servers, clients and discovery
    fake_server             servers with speed, slots, queue, cold start, connection limit, crash, hang, drain
    fake_server_connection  server side of a connection: parses requests, writes responses
    load_generator          open-loop clients
    client_connection       client side of a connection: sends requests, parses responses
    client_request          kinds of requests, their encoding, and requests in flight
    discovery_agent         fake discovery agent that speaks the platform's protocol
    fake_environment        servers, discovery agent and ledger in the default configuration
    listener                a scripted TCP server, base class of some of the fakes

Rules
    rules                   the four rules, as pure functions
    balancer_invariants     invariants of a balancer's records, checked after every event
    ledger                  event log of requests, servers and server lists, and the verdict on the rules

Nodes under test
    process                 a real node in its own process
    loopback                a node in this process, with servers and discovery scripted by a test
    loopback_config         configuration of that node, and requests to it
    balancer_harness        the balancer alone, driven by a test; its actions are recorded and checked

Machine
    cpu_wait                time that a process waited for a core
    loop_lateness           lateness of the event loop of this process
    reserved_port           ports on which several node processes can listen
    scratch                 folder for the files of runs with many processes
"""
