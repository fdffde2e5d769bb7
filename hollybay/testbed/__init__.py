"""Scripted stand-ins for what is outside the node, and the ledger over which the four rules are decided.

Fake servers, clients and discovery
    fake_server             servers with speed, slots, queue, cold start, connection cap, crash, cut, drain
    fake_server_connection  their connections: requests framed, answers written
    load_generator          clients that arrive whatever becomes of those before them
    client_connection       their connections: requests sent, answers parsed
    client_request          kinds of requests, their bytes, one on its way
    discovery_agent         the discovery agent of the platform's protocol
    scene                   all of them in the usual make-up
    listener                a scripted TCP server, the base of some of them

Rules
    rules                   the four rules as pure functions
    balancer_invariants     what agrees in a balancer's records after every event
    ledger                  what happened to each request, server and list, and the verdict over it

Nodes under test
    process                 a real node as a process of its own
    loopback                a node in this process, its servers and discovery scripted by a test
    loopback_config         its configuration, and requests to it
    world                   the decision module alone, with a driver that records and checks what it does

Machine
    cpu_wait                how long a process waited for a core
    loop_lateness           how late the loop of this process is
    reserved_port           a port for node processes that listen one beside the other
    scratch                 where runs of many processes keep their folders
"""
