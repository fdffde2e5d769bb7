"""`hollybay policy`: the group of commands that show and change the policy of all nodes."""

from __future__ import annotations

import click

from .policy_proposals import back, change, drop, found, propose
from .policy_queries import diff, history, status

__all__ = ["policy"]


@click.group()
def policy() -> None:
    """The policy of all nodes: a change takes hold at every node or at none.

    Exit status: 0 in force everywhere, 1 refused or dropped (nowhere), 2 bad input, 3 not known yet.
    """


for _command in (back, change, diff, drop, found, history, propose, status):
    policy.add_command(_command)
