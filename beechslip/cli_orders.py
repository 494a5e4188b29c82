"""The command ``order``: give orders over many instances, cancel them, and print their reports."""

from __future__ import annotations

import argparse
import time
from collections.abc import Mapping

from beechslip.clock import SystemClock
from beechslip.orders.model import OPEN_ORDER_STATES, Order, build_report
from beechslip.orders.order_store import OrderLimits, OrderStore
from beechslip.orders.runner import OrderUpdate, cancellation_updates
from beechslip.store import Instance, Store, StoreError

LISTED_ORDERS = 20
WAIT_POLL_S = 0.2


def order_command(store: Store, arguments: argparse.Namespace) -> int:
    """Execute the command; its exit code: 1 if an instance is not done, or the order was rejected.

    StoreError if the store fails, or the arguments name what it does not have.
    """
    orders = OrderStore(store.connection)
    match arguments.action:
        case "list":
            _print_list(orders)
            return 0
        case "show":
            return _print_report(_get(orders, arguments.number))
        case "cancel":
            order = _get(orders, arguments.number)
            _cancel(orders, order)
            return _print_report(orders.get(order.id) or order)
        case _:
            return _give(store, orders, arguments)


def _get(orders: OrderStore, number: int) -> Order:
    order = orders.get(number)
    if order is None:
        raise StoreError(f"there is no order {number}")
    return order


def _print_list(orders: OrderStore) -> None:
    for order in orders.newest(LISTED_ORDERS):
        print(f"{order.id}\t{order.kind}\t{order.who}\t{order.state}\t{order.why or '-'}")


def _print_report(order: Order) -> int:
    found = build_report(order)
    print("\n".join(found.lines()))
    incomplete = order.state == "done" and bool(found.not_done)
    return 1 if order.state == "refused" or incomplete else 0


def _cancel(orders: OrderStore, order: Order) -> None:
    for update in cancellation_updates(order):
        if isinstance(update, OrderUpdate):
            orders.set_order_state(update.order, update.state, update.why, None)
        else:
            orders.set_step_state(update.step, update.state, update.detail, None)


def _give(store: Store, orders: OrderStore, arguments: argparse.Namespace) -> int:
    """Create an order, and with ``--wait`` print its report once it has ended or the time is over."""
    instances = _select(store, arguments)
    limits = _limits(arguments)
    number = orders.create(SystemClock().now_ms(), arguments.action, arguments.who, instances, limits)
    order = _get(orders, number)
    print(f"order {number}")
    deadline_s = time.monotonic() + arguments.wait
    while order.state in OPEN_ORDER_STATES and time.monotonic() < deadline_s:
        time.sleep(WAIT_POLL_S)
        refreshed = orders.get(number)
        if refreshed is None:  # pruned meanwhile
            return 0
        order = refreshed
    if not arguments.wait:
        return 0
    return _print_report(orders.get(number) or order)


def _select(store: Store, arguments: argparse.Namespace) -> list[Instance]:
    """The instances that the arguments choose; StoreError if they choose none, or name what is not declared."""
    instances = {instance.name: instance for instance in store.instances()}
    _check_names(instances, arguments)
    chosen = [
        instance
        for name, instance in instances.items()
        if arguments.all or name in arguments.names or (arguments.zone and instance.zone == arguments.zone)
    ]
    if not chosen:
        raise StoreError("no instance is chosen: name some, or a --zone, or --all")
    return chosen


def _check_names(instances: Mapping[str, Instance], arguments: argparse.Namespace) -> None:
    unknown = [name for name in arguments.names if name not in instances]
    if unknown:
        raise StoreError(f"no instance is called {', '.join(unknown)}")
    if arguments.zone and all(instance.zone != arguments.zone for instance in instances.values()):
        raise StoreError(f"no instance is of zone {arguments.zone}")


def _limits(arguments: argparse.Namespace) -> OrderLimits:
    """The limits that the arguments give; StoreError if one is out of range."""
    limits = OrderLimits(arguments.at_most, arguments.by_zone, arguments.least_healthy, arguments.least_served)
    fractions = (limits.by_zone, limits.least_healthy, limits.least_served)
    if limits.at_most < 1 or not all(0.0 <= fraction <= 1.0 for fraction in fractions):
        raise StoreError("--at-most must be at least 1, and shares from 0 to 1")
    return limits
