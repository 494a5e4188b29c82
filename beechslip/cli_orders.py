"""The ``order`` command: create orders for several instances, cancel them, and print their reports."""

from __future__ import annotations

import argparse
import time
from collections.abc import Mapping

from beechslip.clock import SystemClock
from beechslip.orders.model import OPEN_ORDER_STATES, Order, build_report
from beechslip.orders.order_store import OrderLimits, OrderStore
from beechslip.orders.runner import OrderUpdate, cancellation_updates
from beechslip.store import Instance, Store, StoreError

MAX_LISTED_ORDERS = 20
ORDER_POLL_INTERVAL_S = 0.2


def order_command(store: Store, arguments: argparse.Namespace) -> int:
    """Execute the ``order`` command and return its exit code.

    The exit code is 1 if the order was rejected, or if it is done but some of its instances are not. Raises
    StoreError if the store fails, or if the arguments name an order, an instance or a zone that it does not hold.
    """
    orders = OrderStore(store.connection)
    match arguments.action:
        case "list":
            _print_orders(orders)
            return 0
        case "show":
            return _print_report(_get_order(orders, arguments.number))
        case "cancel":
            order = _get_order(orders, arguments.number)
            _cancel_order(orders, order)
            return _print_report(orders.get(order.id) or order)
        case _:
            return _create_order(store, orders, arguments)


def _get_order(orders: OrderStore, number: int) -> Order:
    order = orders.get(number)
    if order is None:
        raise StoreError(f"no order {number} in the store")
    return order


def _print_orders(orders: OrderStore) -> None:
    for order in orders.newest(MAX_LISTED_ORDERS):
        print(f"{order.id}\t{order.kind}\t{order.who}\t{order.state}\t{order.why or '-'}")


def _print_report(order: Order) -> int:
    summary = build_report(order)
    print("\n".join(summary.lines()))
    is_incomplete = order.state == "done" and bool(summary.not_done)
    return 1 if order.state == "refused" or is_incomplete else 0


def _cancel_order(orders: OrderStore, order: Order) -> None:
    for update in cancellation_updates(order):
        if isinstance(update, OrderUpdate):
            orders.set_order_state(update.order, update.state, update.why, None)
        else:
            orders.set_step_state(update.step, update.state, update.detail, None)


def _create_order(store: Store, orders: OrderStore, arguments: argparse.Namespace) -> int:
    """Create an order and return the exit code.

    With ``--wait``, print the report of the order once it has ended or the time is over.
    """
    instances = _select_instances(store, arguments)
    limits = _read_limits(arguments)
    number = orders.create(SystemClock().now_ms(), arguments.action, arguments.who, instances, limits)
    order = _get_order(orders, number)
    print(f"order {number}")
    deadline_s = time.monotonic() + arguments.wait
    while order.state in OPEN_ORDER_STATES and time.monotonic() < deadline_s:
        time.sleep(ORDER_POLL_INTERVAL_S)
        refreshed = orders.get(number)
        if refreshed is None:  # the store has deleted this order in the meantime
            return 0
        order = refreshed
    if not arguments.wait:
        return 0
    return _print_report(orders.get(number) or order)


def _select_instances(store: Store, arguments: argparse.Namespace) -> list[Instance]:
    """Return the instances that the arguments select.

    Raises StoreError if they select none, or name an instance or a zone that is not declared.
    """
    instances = {instance.name: instance for instance in store.instances()}
    _check_names(instances, arguments)
    chosen = [
        instance
        for name, instance in instances.items()
        if arguments.all or name in arguments.names or (arguments.zone and instance.zone == arguments.zone)
    ]
    if not chosen:
        raise StoreError("no instance is chosen: give instance names, --zone or --all")
    return chosen


def _check_names(instances: Mapping[str, Instance], arguments: argparse.Namespace) -> None:
    """Raise StoreError if a name on the command line is not declared, or if no instance is in the given zone."""
    unknown_names = [name for name in arguments.names if name not in instances]
    if unknown_names:
        raise StoreError(f"no instance is called {', '.join(unknown_names)}")
    if arguments.zone and all(instance.zone != arguments.zone for instance in instances.values()):
        raise StoreError(f"no instance is in zone {arguments.zone}")


def _read_limits(arguments: argparse.Namespace) -> OrderLimits:
    """Return the limits that the arguments set. Raises StoreError if one is out of range."""
    limits = OrderLimits(arguments.at_most, arguments.by_zone, arguments.least_healthy, arguments.least_served)
    fractions = (limits.by_zone, limits.least_healthy, limits.least_served)
    if limits.at_most < 1 or not all(0.0 <= fraction <= 1.0 for fraction in fractions):
        raise StoreError("invalid limits: --at-most must be at least 1, and shares must be from 0 to 1")
    return limits
