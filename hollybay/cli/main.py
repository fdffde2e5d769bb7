"""The command `hollybay`: the group of all commands, each of which is defined in its own module."""

from __future__ import annotations

import click

from .demo_command import demo
from .operator_files import check, routes
from .run import run
from .simulate_command import simulate
from .tier_command import tier

__all__ = ["main"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """hollybay: a reverse-proxy node that spreads requests over servers of several speeds."""


for _command in (check, demo, routes, run, simulate, tier):
    main.add_command(_command)

try:
    from .policy import policy as _policy
except ModuleNotFoundError as _missing:  # the extra `accord` is not installed
    _absent = _missing.name

    @main.command("policy")
    def _policy_is_absent() -> None:
        """The policy of all nodes (needs the extra `accord`)."""
        raise click.ClickException(f"needs {_absent}, see the extra `accord`")
else:
    main.add_command(_policy)


if __name__ == "__main__":
    main()
