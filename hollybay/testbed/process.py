"""A real node in its own process, on a port chosen by the kernel.

`python -m hollybay.testbed.process` runs the node of `hollybay.proxy` unchanged except for the port: it uses
that of the environment variable `TESTBED_PORT`, or 0, in place of the configured one, and prints the port to
standard output once the node listens.
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
LOG_TAIL_CHARACTERS = 2000  # quoted from the log in the error of a node that did not start
EXIT_INVALID_CONFIG = 2
PORT_VARIABLE = "TESTBED_PORT"


class NodeProcess:
    """A node in its own process.

    Parameters
    ----------
    config
        The configuration, written to the file that BALANCER_CONFIG names.
    folder
        The folder for its configuration and its log.
    log_name
        The file name of the log.
    environ
        Additional environment variables.

    Attributes
    ----------
    port
        The port that it listens on; 0 before its start.
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
        """Start the process, wait until the node listens, and return its port.

        Raises
        ------
        RuntimeError
            The process ended before it listened; the message quotes the end of its log.
        TimeoutError
            It did not listen within START_LIMIT_S.
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
        """The process id."""
        assert self._process is not None
        return self._process.pid

    def cpu_seconds(self) -> float:
        """CPU time used so far (s)."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Resident memory in MiB."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    def descriptors(self) -> int:
        """Number of open file descriptors."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    @property
    def exit_status(self) -> int | None:
        """The exit status; negative for the signal that ended it; None while it runs."""
        assert self._process is not None
        return self._process.returncode

    async def wait(self) -> int:
        """Wait for its end; returns the exit status."""
        assert self._process is not None
        return await self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self._process is not None
        self._process.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal to end it and wait for its end; returns the exit status."""
        if self.exit_status is None:
            self.send_signal(number)
        return await self.wait()


def main() -> int:
    """Run the node that BALANCER_CONFIG configures, on the port given by TESTBED_PORT or a free one.

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
