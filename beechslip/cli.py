"""The command line: ``run``, ``agent``, ``instance``, ``order``, ``region`` and ``events``."""

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
SHOWN_FIELDS = ("name", "config", "listen", "wanted", "state", "pid", "restarts")

MIN_LEASE_MS = 5 * POLL_INTERVAL_MS / 2
"""A shorter lease could end between two extensions."""

HOME_LEASES = 2.0
"""Lease times after an agent's start for which other agents' instances are left to them."""


def instance_command(store: Store, arguments: argparse.Namespace) -> None:
    """Execute ``instance``.

    StoreError if there is no such instance, or the name is taken; ConfigError if ``--listen`` is no address.
    """
    match arguments.action:
        case "add":
            _declare(store, arguments)
        case "list":
            for instance in store.instances():
                pid, listen = instance.pid or "-", instance.listen or "-"
                print(f"{instance.name}\t{instance.wanted}\t{instance.state}\t{pid}\t{listen}")
        case "show":
            found = store.get(arguments.name)
            if found is None:
                raise StoreError(f"no instance is called {arguments.name}")
            for field in SHOWN_FIELDS:
                print(f"{field}: {getattr(found, field)}")
        case "drain":
            store.set_wanted(arguments.name, "drained")
        case "run":
            store.set_wanted(arguments.name, "running")
        case "remove":
            _remove(store, arguments.name)


def _declare(store: Store, arguments: argparse.Namespace) -> None:
    if arguments.listen:
        parse_address(arguments.listen)
    config = str(Path(arguments.config).resolve())
    store.add(Instance(arguments.name, config, arguments.listen, zone=arguments.zone, home=arguments.home))
    store.record_event(SystemClock().now_ms(), arguments.name, "declared")


def _remove(store: Store, name: str) -> None:
    """Have the agent drain and delete an instance; one that no agent has taken up is deleted at once."""
    store.set_wanted(name, "removed")
    found = store.get(name)
    if found is not None and found.state == "declared":
        store.remove(name)
        store.record_event(SystemClock().now_ms(), name, "removed")


def events_command(store: Store, arguments: argparse.Namespace) -> None:
    """Print the newest events, the oldest first."""
    for event in store.events(arguments.instance, arguments.limit):
        at = datetime.fromtimestamp(event.at_ms / 1000, UTC).isoformat(timespec="milliseconds")
        print(f"{event.id}\t{at}\t{event.instance}\t{event.kind}\t{event.detail}")


def region_command(store: Store, arguments: argparse.Namespace) -> int:
    """Execute ``region``; its exit code: 1 if the coordinator refuses. StoreError if no instance responds."""
    addresses = regions.ops_addresses(store.instances())
    if arguments.action == "list":
        print("\n".join(regions.table_lines(addresses)))
        return 0
    status, text = regions.send_command(addresses, arguments.region, arguments.action, arguments.who)
    accepted = status == HTTP_OK
    print(text, file=sys.stdout if accepted else sys.stderr)
    return 0 if accepted else 1


def agent_command(store: Store, arguments: argparse.Namespace) -> None:
    """Run an agent until SIGTERM or SIGINT. StoreError for a name or a lease that it can't have."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(name)s %(message)s")
    asyncio.run(_run_agent(store, arguments.name, arguments.lease_ms))


async def _run_agent(store: Store, name: str, lease_ms: float) -> None:
    if not name or lease_ms < MIN_LEASE_MS:
        raise StoreError(f"an agent needs a name, and a lease of {MIN_LEASE_MS:g} ms or more to extend it in time")
    clock = SystemClock()
    incarnation = secrets.randbits(INCARNATION_BITS)
    tuning = LeaseTuning(lease_ms, lease_ms, lease_ms / 10.0, resend_ms=POLL_INTERVAL_MS)
    leases = StoredLeases(name, incarnation, store.connection, clock.steady_ms, tuning, random.Random(incarnation))
    agent_leases = StoredAgentLeases(leases, clock.steady_ms, HOME_LEASES * lease_ms)
    agent = Agent(StoreAccess(store, clock), LocalLauncher(), clock, agent_leases, name)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, agent.stopping.set)
    await agent.run()


def main(arguments: list[str] | None = None) -> int:
    """Execute a command line (``None``: that of the process); its exit code."""
    parsed = build_parser().parse_args(arguments)
    if parsed.command == "run":
        return process.main()
    try:
        with contextlib.closing(open_store(parsed.store)) as store:
            return _execute(store, parsed)
    except (StoreError, ConfigError) as error:
        print(f"beechslip: {error}", file=sys.stderr)
        return 1


def _execute(store: Store, arguments: argparse.Namespace) -> int:
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
