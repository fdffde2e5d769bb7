"""A replicated configuration log: epochs decided by quorums of voters, and leases on them.

core, acceptor, leaseholder, proposer   the protocol; no I/O
policy, log                             a policy as an entry of the log; the log on disk
service                                 the member of one process: connects the roles and routes requests
model_check                             searches the reachable states of the protocol for safety violations

Some published names (on the wire, on disk, at the command line) differ from the names in the code. Each is
mapped in one place: in the `rename` of a message class, in `status` or in `cluster_view`.

voter                       keeper
address of an admin server  door
to bootstrap                to found
the joint stage             NARROW
grace after a lease         late, late_s
decided epoch of a sender   know
request of a lease          ask
epoch barred from votes     mute (`last_barred_epoch`)
time without a vote         quiet_s (`no_vote_before`)
consensus group             accord
addresses of the voters     keepers, board
policy not serviceable      unfit
coordinated policy          driving; log event "drives"
leases that block a vote    waits
leases on older epochs      older
epoch learned               log event "hears"
policies in force           serves, "serves nothing"
drained servers             out
intact record               sound
"""
