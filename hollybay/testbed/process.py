"""A real node as a process of its own, on a port of the kernel's choice.

`python -m hollybay.testbed.process` runs the node of `hollybay.proxy` unchanged, but for the port: that of
the environment variable `TESTBED_PORT`, or 0, in place of the configured one, told on standard output once
the node listens.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
from pathlib import Path
from typing import Any

__all__ = ["PORT_VARIABLE", "NodeProcess", "main"]

START_LIMIT_S = 20.0
LOG_TAIL_CHARACTERS = 2000  # of the log, in the error of a node that did not start
EXIT_INVALID_CONFIG = 2
PORT_VARIABLE = "TESTBED_PORT"


class NodeProcess:
    """A node that runs.

    Parameters
    ----------
    config
        The object that BALANCER_CONFIG names a file of.
    folder
        Where its configuration and its log go.
    log_name
        Name of the log in the folder.
    environ
        Environment variables, beside those of this process.

    Attributes
    ----------
    port
        Where it listens; 0 before its start.
    """

    def __init__(
        self, config: dict[str, Any], folder: Path, log_name: str = "node.log", **environ: str
    ) -> None:
        self.config = config
        self.path = folder / "config.json"
        self.log = folder / log_name
        self.environ = environ
        self.port = 0
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> int:
        """Start it, wait until it listens and return its port.

        Raises
        ------
        RuntimeError
            The process ended before it listened; the message holds the end of its log.
        TimeoutError
            It did not listen in time.
        """
        self.path.write_text(json.dumps(self.config))
        environ = {**os.environ, "BALANCER_CONFIG": str(self.path), **self.environ}
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hollybay.testbed.process",
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=environ,
            )
        assert self._process.stdout is not None
        async with asyncio.timeout(START_LIMIT_S):
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"the node did not start: {self.log.read_text()[-LOG_TAIL_CHARACTERS:]}")
        self.port = int(line)
        return self.port

    @property
    def pid(self) -> int:
        """The process's number."""
        assert self._process is not None
        return self._process.pid

    def cpu_seconds(self) -> float:
        """CPU time that it has used so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Its resident memory in MiB."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    def descriptors(self) -> int:
        """How many file descriptors it holds."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    @property
    def exit_status(self) -> int | None:
        """Its exit status; negative: the signal that ended it; None while it runs."""
        assert self._process is not None
        return self._process.returncode

    async def wait(self) -> int:
        """Wait for its end; its exit status."""
        assert self._process is not None
        return await self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self._process is not None
        self._process.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """End it and wait for that; its exit status."""
        if self.exit_status is None:
            self.send_signal(number)
        return await self.wait()


def main() -> int:
    """Run the node that BALANCER_CONFIG names, on the port that the environment names or a free one.

    Returns
    -------
    int
        Exit status: 0 after a drain, 2 if the configuration is invalid.
    """
    import uvloop

    from hollybay.proxy.config import ConfigError, load
    from hollybay.proxy.life_cycle import serve

    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(message)s")
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"hollybay: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIG

    def started(port: int) -> None:
        print(port, flush=True)

    uvloop.run(serve(config, started=started, port=int(os.environ.get(PORT_VARIABLE, "0"))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
