"""The commands of the command line: ``run``, ``agent``, ``instance``, ``order``, ``region`` and ``events``."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import logging
import random
import secrets
import signal
import sys
from datetime import UTC, datetime
from pathlib import Path

from beechslip import process
from beechslip.agent import regions
from beechslip.agent.agent import POLL_INTERVAL_MS, Agent
from beechslip.agent.launcher import LocalLauncher
from beechslip.agent.leases import StoredAgentLeases
from beechslip.agent.store_access import StoreAccess
from beechslip.cli_orders import order_command
from beechslip.cli_parser import build_parser
from beechslip.clock import SystemClock
from beechslip.config import ConfigError, parse_address
from beechslip.leases.paxos import LeaseTuning
from beechslip.leases.stored import StoredLeases
from beechslip.store import Instance, Store, StoreError, open_store

HTTP_OK = 200
INCARNATION_BITS = 40
SHOWN_INSTANCE_FIELDS = ("name", "config", "listen", "wanted", "state", "pid", "restarts")

MIN_LEASE_MS = 5 * POLL_INTERVAL_MS / 2
"""The shortest accepted lease of an agent. A shorter one could expire between two extensions."""

HOME_AGENT_WAIT_LEASES = 2.0
"""How long after its start an agent leaves instances with another home agent to that agent, in lease durations."""


def instance_command(store: Store, arguments: argparse.Namespace) -> None:
    """Execute the ``instance`` command.

    Raises StoreError if the instance does not exist or its name is already declared, and ConfigError if
    ``--listen`` is not a valid address.
    """
    match arguments.action:
        case "add":
            _declare_instance(store, arguments)
        case "list":
            for instance in store.instances():
                pid, listen = instance.pid or "-", instance.listen or "-"
                print(f"{instance.name}\t{instance.wanted}\t{instance.state}\t{pid}\t{listen}")
        case "show":
            shown = store.get(arguments.name)
            if shown is None:
                raise StoreError(f"no instance is called {arguments.name}")
            for field in SHOWN_INSTANCE_FIELDS:
                print(f"{field}: {getattr(shown, field)}")
        case "drain":
            store.set_wanted(arguments.name, "drained")
        case "run":
            store.set_wanted(arguments.name, "running")
        case "remove":
            _remove_instance(store, arguments.name)


def _declare_instance(store: Store, arguments: argparse.Namespace) -> None:
    if arguments.listen:
        parse_address(arguments.listen)
    config = str(Path(arguments.config).resolve())
    store.add(Instance(arguments.name, config, arguments.listen, zone=arguments.zone, home=arguments.home))
    store.record_event(SystemClock().now_ms(), arguments.name, "declared")


def _remove_instance(store: Store, name: str) -> None:
    """Have the agent drain and delete an instance. One that no agent manages yet is deleted immediately."""
    store.set_wanted(name, "removed")
    instance = store.get(name)
    if instance is not None and instance.state == "declared":
        store.remove(name)
        store.record_event(SystemClock().now_ms(), name, "removed")


def events_command(store: Store, arguments: argparse.Namespace) -> None:
    """Print the most recent events, oldest first."""
    for event in store.events(arguments.instance, arguments.limit):
        at = datetime.fromtimestamp(event.at_ms / 1000, UTC).isoformat(timespec="milliseconds")
        print(f"{event.id}\t{at}\t{event.instance}\t{event.kind}\t{event.detail}")


def region_command(store: Store, arguments: argparse.Namespace) -> int:
    """Execute the ``region`` command and return its exit code: 1 if the coordinator rejects the command.

    Raises StoreError if no instance responds.
    """
    addresses = regions.ops_addresses(store.instances())
    if arguments.action == "list":
        print("\n".join(regions.table_lines(addresses)))
        return 0
    status, text = regions.send_command(addresses, arguments.region, arguments.action, arguments.who)
    is_accepted = status == HTTP_OK
    print(text, file=sys.stdout if is_accepted else sys.stderr)
    return 0 if is_accepted else 1


def agent_command(store: Store, arguments: argparse.Namespace) -> None:
    """Run an agent until SIGTERM or SIGINT. Raises StoreError if its name is empty or its lease is too short."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(name)s %(message)s")
    asyncio.run(_run_agent(store, arguments.name, arguments.lease_ms))


async def _run_agent(store: Store, name: str, lease_ms: float) -> None:
    if not name or lease_ms < MIN_LEASE_MS:
        raise StoreError(f"--name must not be empty, and --lease-ms must be at least {MIN_LEASE_MS:g}")
    clock = SystemClock()
    incarnation = secrets.randbits(INCARNATION_BITS)
    tuning = LeaseTuning(lease_ms, lease_ms, lease_ms / 10.0, resend_ms=POLL_INTERVAL_MS)
    leases = StoredLeases(name, incarnation, store.connection, clock.steady_ms, tuning, random.Random(incarnation))
    agent_leases = StoredAgentLeases(leases, clock.steady_ms, HOME_AGENT_WAIT_LEASES * lease_ms)
    agent = Agent(StoreAccess(store, clock), LocalLauncher(), clock, agent_leases, name)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, agent.stopping.set)
    await agent.run()


def main(arguments: list[str] | None = None) -> int:
    """Execute a command line and return its exit code.

    ``arguments``: the words after the program's name; ``None`` stands for those of this process.
    """
    parsed = build_parser().parse_args(arguments)
    if parsed.command == "run":
        return process.main()
    try:
        with contextlib.closing(open_store(parsed.store)) as store:
            return _execute_command(store, parsed)
    except (StoreError, ConfigError) as error:
        print(f"beechslip: {error}", file=sys.stderr)
        return 1


def _execute_command(store: Store, arguments: argparse.Namespace) -> int:
    match arguments.command:
        case "agent":
            agent_command(store, arguments)
        case "events":
            events_command(store, arguments)
        case "order":
            return order_command(store, arguments)
        case "region":
            return region_command(store, arguments)
        case _:
            instance_command(store, arguments)
    return 0
