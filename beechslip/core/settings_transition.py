"""The settings that hold during a change of settings: from the arrival of new ones until only the new ones hold."""

from __future__ import annotations

from dataclasses import replace

from beechslip.routing.interface import ClassRule, Settings

# Clients use new settings from 1.2 s after SIGHUP on; the rest covers requests sent before that, and a late signal.
TRANSITION_MS = 1_500.0

_EFFECT_STRICTNESS = {"safe": 0, "keyed": 1}  # by the effect of a class
_UNSAFE_STRICTNESS = 2  # of every other effect, which counts as unsafe


def stricter_settings(old: Settings, new: Settings) -> Settings:
    """Return settings that comply with both ``old`` and ``new``, for the time in which either may hold for a client.

    They have the classes of both. Where the two differ in the repeats or the number of attempts that they permit, the
    stricter one holds; all other values are those of ``new``. Otherwise a request could be handled by settings other
    than its client's: its class could be missing, it could be repeated although only one of the two settings allows
    that, or it could get one attempt more than the lower of the two limits.
    """
    classes = dict(old.classes)
    for name, rule in new.classes.items():
        old_rule = old.classes.get(name)
        classes[name] = rule if old_rule is None else _stricter_rule(old_rule, rule)
    limits = (limit for limit in (old.max_attempts, new.max_attempts) if limit)  # 0 means no limit
    return replace(new, classes=classes, max_attempts=min(limits, default=0))


def _stricter_rule(old: ClassRule, new: ClassRule) -> ClassRule:
    """Return the new rule with the effect, window and group that permit fewer repeats."""
    stricter = max(old, new, key=lambda rule: _EFFECT_STRICTNESS.get(rule.effect, _UNSAFE_STRICTNESS))
    window = stricter.window
    group = stricter.group
    if old.effect == new.effect == "keyed":
        window = min(old.window, new.window)
        group = old.group if new.group == "all" else new.group
    return replace(new, effect=stricter.effect, group=group, window=window)
