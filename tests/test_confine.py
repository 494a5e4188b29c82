"""A confined proxy refuses what the fleet platform refuses, and its event loop still serves.

Each case runs in a separate program, because an audit hook can't be removed.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]

SCRIPT = r"""
import asyncio, errno, os, socket, subprocess, sys
from beechslip.platform import confine
assert confine.confine() and not confine.confine()
outcomes = []
def attempt(name, call):
    try:
        call()
    except confine.ForbiddenCallError:
        outcomes.append(name + ":refused")
    except OSError as error:
        outcomes.append(name + ":" + errno.errorcode.get(error.errno, "?"))
    else:
        outcomes.append(name + ":done")
attempt("popen", lambda: subprocess.run(["true"]))
attempt("fork", os.fork)
attempt("spawn", lambda: os.posix_spawn("/bin/true", ["true"], {}))
attempt("system", lambda: os.system("true"))
attempt("ipv6", lambda: socket.socket(socket.AF_INET6, socket.SOCK_STREAM))
attempt("sendfile", lambda: os.sendfile(1, 0, 0, 1))
attempt("ipv4", lambda: socket.socket(socket.AF_INET, socket.SOCK_DGRAM).close())
attempt("pair", lambda: [s.close() for s in socket.socketpair()])
async def echo():
    async def serve(reader, writer):
        writer.write(await reader.readline()); await writer.drain(); writer.close()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"ping\n")
    line = await reader.readline()
    writer.close(); server.close()
    return line
attempt("loop", lambda: asyncio.run(echo()) == b"ping\n" or 1 / 0)
print(" ".join(outcomes), os.environ.get("AIOHTTP_NOSENDFILE"), len(confine.forbidden_calls()))
"""


def test_confined_process_refuses_programs_ipv6_and_sendfile_but_serves_ipv4() -> None:
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    outcomes = done.stdout.split()
    assert outcomes[:-2] == [
        "popen:refused",
        "fork:refused",
        "spawn:refused",
        "system:refused",
        "ipv6:refused",
        "sendfile:ENOSYS",
        "ipv4:done",
        "pair:done",
        "loop:done",
    ]
    assert outcomes[-2:] == ["1", "5"]  # aiohttp does not use sendfile; five forbidden calls were recorded


def test_unconfined_process_still_starts_programs() -> None:
    # The command line and the agent start programs by design. Importing the module alone confines nothing.
    code = "import subprocess; from beechslip.platform import confine; print(subprocess.run(['true']).returncode)"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    assert done.stdout.strip() == "0"
