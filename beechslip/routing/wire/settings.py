"""Reads an instance's settings from the site's JSON object, leniently: unknown members are skipped."""

from __future__ import annotations

from typing import Any

from beechslip.routing import interface as i
from beechslip.routing.wire.fields import (
    Message,
    item_at,
    number_at,
    optional_array,
    optional_number,
    optional_object,
    optional_text,
)

EFFECTS = {"repeatable": "safe", "by_key": "keyed", "once": "unsafe"}
NOT_STATED = "off"  # value of a feature that the site does not have


def read_settings(config: Message) -> i.Settings:
    """Return the settings; a member that is absent or of another type stays "not stated"."""
    caps = optional_object(config, "caps")
    facts = optional_object(config, "specifics")
    zone = optional_text(config, "myZone")
    kinds = optional_array(config, "models")
    return i.Settings(
        me=int(optional_number(config, "me")),
        proxies=int(optional_number(config, "balancers")),
        zone=zone,
        proxies_in_zone=_proxies_in_zone(config, zone),
        classes=_read_classes(config),
        parent_kind=_kind_at(kinds, facts.get("parentKind", -1)),
        origin_kind=_kind_at(kinds, facts.get("sourceKind", -1)),
        list_on_request=optional_text(config, "discovery") == "on_request",
        tick=optional_number(config, "round"),
        weights=_read_feature(config, "weights"),
        reports=optional_text(optional_object(config, "loadReport"), "how") == "inline",
        **_read_caps(caps),
        **_read_safety(optional_object(config, "safety")),
        **_read_facts(facts),
    )


def _read_classes(config: Message) -> dict[str, i.ClassRule]:
    """Return the rules by class name; entries without a name are skipped."""
    facts = optional_object(config, "specifics")
    classes: dict[str, i.ClassRule] = {}
    for position, entry in enumerate(optional_array(config, "classes")):
        if isinstance(entry, dict) and optional_text(entry, "name"):
            classes[optional_text(entry, "name")] = _read_class(entry, facts, position)
    return classes


def _read_class(entry: Message, facts: Message, position: int) -> i.ClassRule:
    """Return one rule; the members about caching are in separate arrays, at the class's position."""
    return i.ClassRule(
        name=optional_text(entry, "name"),
        latency_objective=optional_number(entry, "onTime"),
        latency_objective_stretch=optional_number(entry, "aimStretch"),
        deadline=optional_number(entry, "giveUp"),
        priority_weight=optional_number(entry, "credit"),
        late_weight=optional_number(entry, "lateWorth"),
        effect=EFFECTS.get(optional_text(entry, "effect"), ""),
        group=optional_text(entry, "group"),
        window=optional_number(entry, "window"),
        write=item_at(optional_array(facts, "goesThrough"), position) is True,
        fresh=number_at(optional_array(facts, "maxAge"), position),
        grace=number_at(optional_array(facts, "staleFor"), position),
    )


def _read_caps(caps: Message) -> dict[str, Any]:
    """Return the capabilities of the program around the router."""
    return {
        "max_attempts": int(optional_number(caps, "maxAttempts")),
        "can_cancel": caps.get("cancel") is True,
        "can_health_check": caps.get("probes") is True,
        "hedging": caps.get("secondCopies") is True,
        "retry_after": caps.get("retryAfter") is True,
        "max_retry_after": optional_number(caps, "maxRetryAfter"),
        "connect_timeout": optional_number(caps, "dialTimeout"),
        "max_open_requests": int(optional_number(caps, "mostHeld")),
        "conn_idle": optional_number(caps, "idleClose"),
    }


def _read_safety(safety: Message) -> dict[str, Any]:
    """Return the settings for polling, slow start, overload and draining of caches."""
    return {
        "poll_interval": optional_number(safety, "askEvery"),
        "slow_start_share": optional_number(safety, "coldShare"),
        "slow_start_time": optional_number(safety, "warmWithin"),
        "overload_multiple": optional_number(safety, "fallMultiple"),
        "overload_window": optional_number(safety, "fall"),
        "drain_grace": optional_number(safety, "drainGrace"),
    }


def _read_facts(facts: Message) -> dict[str, Any]:
    """Return the settings that are specific to tiers of caches."""
    return {
        "parent_slow_start_share": optional_number(facts, "parentStartsAt"),
        "parent_slow_start_time": optional_number(facts, "upperCold"),
        "parent_overload_multiple": optional_number(facts, "parentBreaksAt"),
        "purge_propagation": optional_number(facts, "goneEverywhere"),
        "flow_kb_s": optional_number(facts, "clientKbPerS"),
        "direct": facts.get("passThroughOk") is True,
        "joins": facts.get("sharesFills") is True,
        "siblings": _read_feature(facts, "siblings"),
        "tells": _read_feature(facts, "tells"),
    }


def _proxies_in_zone(config: Message, zone: str) -> int:
    zones = optional_array(config, "dcs")
    position = zones.index(zone) if zone in zones else -1
    return int(number_at(optional_array(optional_object(config, "specifics"), "instancesByZone"), position))


def _kind_at(kinds: list[Any], position: float) -> str:
    kind = item_at(kinds, position)
    return kind if isinstance(kind, str) else ""


def _read_feature(source: Message, name: str) -> str:
    value = optional_text(source, name)
    return "" if value == NOT_STATED else value
