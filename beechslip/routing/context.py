"""State shared by all components of a router: settings, the event's time, its actions, random numbers."""

from __future__ import annotations

import random

from beechslip.routing import interface as i

CLOCK_RESOLUTION_S = 1e-6  # s; age limits are not rounded below it, because 0 would mean "no limit"


class RoutingContext:
    """The inputs and the actions of the event that is being handled; only the router replaces them.

    Attributes:
        settings: the current settings.
        weights_are_capacities: True if an endpoint's weight states the capacity of its link.
        now: time of the event in seconds.
        actions: the actions that the event has caused so far, in order.
        random: the only source of random numbers; they are drawn in the order of events.
    """

    __slots__ = ("actions", "now", "random", "settings", "weights_are_capacities")

    def __init__(self, settings: i.Settings, seed: int) -> None:
        """Start at time 0 with no actions; equal seeds and events give equal actions."""
        self.random = random.Random(seed)
        self.now = 0.0
        self.actions: list[i.Action] = []
        self.update_settings(settings)

    def update_settings(self, settings: i.Settings) -> None:
        """Replace the settings for every component."""
        self.settings = settings
        self.weights_are_capacities = settings.weights in ("nominal", "rough")
