"""Proxy processes of the test bench, which are started, signalled and never left running.

The kernel kills them when the test bench ends (``PR_SET_PDEATHSIG``), however it ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import resource
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
PR_SET_PDEATHSIG = 1
PROGRAM_VARIABLES = ("EDGE_", "BEECHSLIP_")  # prefixes of variables that are not inherited
_libc = ctypes.CDLL(None)


async def spawn_python(
    arguments: Sequence[str], log: Path | str, file_limit: int = 0, **env: str
) -> asyncio.subprocess.Process:
    """Start ``python ARGUMENTS`` in the root folder with standard error appended to ``log``.

    The process is killed when the test bench ends. ``file_limit`` is the maximum size in bytes of a file that it
    writes (0: no limit). ``env`` is added to the inherited environment without the program's own variables. Raises
    OSError if the process can't be started.
    """

    def before_exec() -> None:
        _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if file_limit:
            resource.setrlimit(resource.RLIMIT_FSIZE, (file_limit, file_limit))

    inherited = {name: value for name, value in os.environ.items() if not name.startswith(PROGRAM_VARIABLES)}
    with open(log, "ab") as stderr:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            cwd=ROOT,
            env=inherited | env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=stderr,
            preexec_fn=before_exec,
        )


def steady_ms() -> float:
    """Return the time in ms of the clock of histories, which all processes of this machine share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ProxyProcess:
    """A member of the fleet, which may be started, ended and restarted."""

    def __init__(
        self, number: int, folder: Path, config: dict[str, Any], fleet_toml: str, injected_fault: str, ops_port: int
    ) -> None:
        """Prepare the process without starting it; ``config`` and ``fleet_toml`` are the contents of its files."""
        self.number = number
        self.name = f"d{number}"
        self.folder = folder
        self.config = config
        self.fleet_toml = fleet_toml
        self.injected_fault = injected_fault
        self.ops_port = ops_port
        self.stderr = ""  # path for standard error instead of the log in the folder; /dev/full: a full disk
        self.file_limit = 0  # maximum size of a file that it writes; 0: no limit
        self.process: asyncio.subprocess.Process | None = None
        self.is_stopped = False
        self.start_count = 0
        self.last_answered_start = 0  # number of its last start after which it has responded to a request
        self.exit_codes: list[int | None] = []  # one for each time that it ended
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def is_alive(self) -> bool:
        """True if it has been started and has not ended; a stopped process is alive."""
        return self.process is not None and self.process.returncode is None

    @property
    def port(self) -> int:
        """The loopback port on which it listens for clients."""
        return int(self.config["listen"].split(":")[1])

    @property
    def history_path(self) -> Path:
        """The file to which it writes its history."""
        return self.folder / "history.jsonl"

    def write_config_files(self) -> None:
        """Write the configuration files."""
        (self.folder / "config.json").write_bytes(orjson.dumps(self.config))
        (self.folder / "fleet.toml").write_text(self.fleet_toml)

    async def start(self) -> None:
        """Start the process with its current configuration; do nothing if it is running."""
        if self.is_alive:
            return
        self.write_config_files()
        program = ["-m", "lab.mutants", self.injected_fault] if self.injected_fault else ["-m", "beechslip"]
        self.process = await spawn_python(
            program,
            self.stderr or self.folder / "log.txt",
            self.file_limit,
            EDGE_CONFIG=str(self.folder / "config.json"),
            EDGE_FLEET=str(self.folder / "fleet.toml"),
            EDGE_OPS=f"127.0.0.1:{self.ops_port}",
            EDGE_NAME=self.name,
        )
        self.start_count += 1
        self.is_stopped = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process; do nothing if it has ended."""
        if self.process is not None and self.is_alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.is_stopped = number is signal.SIGSTOP

    async def end(self, number: signal.Signals = signal.SIGKILL, wait_s: float = 10.0) -> int | None:
        """Send a signal and wait until the process has ended, with SIGKILL after ``wait_s``. Return its exit code."""
        if self.process is None or not self.is_alive:
            return None
        if self.is_stopped and number is not signal.SIGKILL:
            self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            code = await asyncio.wait_for(self.process.wait(), wait_s)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            code = await self.process.wait()
        self.exit_codes.append(code)
        return code

    def read_events(self) -> list[dict[str, Any]]:
        """Return its history so far; a line that was truncated by a kill or a full disk is skipped."""
        try:
            lines = self.history_path.read_bytes().splitlines()
        except FileNotFoundError:
            return []
        events = []
        for line in lines:
            with contextlib.suppress(orjson.JSONDecodeError):
                events.append(orjson.loads(line))
        return events

    def read_counters(self) -> dict[str, int]:
        """Return the counters that it logged at its last graceful shutdown; {} if there are none."""
        try:
            text = (self.folder / "log.txt").read_text(errors="replace")
        except FileNotFoundError:
            return {}
        lines = [line for line in text.splitlines() if " counters " in line]
        pairs = (word.split("=") for word in lines[-1].split() if "=" in word) if lines else ()
        return {name: int(value) for name, value in pairs if value.isdigit()}
