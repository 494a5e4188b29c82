"""New settings while the program runs: what holds between their arrival and the moment they hold alone."""

from __future__ import annotations

from dataclasses import replace

from beechslip.routing.interface import ClassRule, Settings

# Clients go by new settings 1.2 s after SIGHUP; the rest covers what they had sent before and a late signal.
TRANSITION_MS = 1_500.0

_EFFECT_STRICTNESS = {"safe": 0, "keyed": 1}  # by a class's effect
_UNSAFE_STRICTNESS = 2  # every other effect counts as unsafe


def stricter_settings(old: Settings, new: Settings) -> Settings:
    """Both settings at once: classes of either, and where they differ the one that permits less.

    Guards against a request that is judged by the other side's settings: one of a class that is not there
    yet or no longer, a repeat that only one of them allows, or one attempt more than the fewer of the two.
    """
    classes = dict(old.classes)
    for name, rule in new.classes.items():
        before = old.classes.get(name)
        classes[name] = rule if before is None else _stricter_rule(before, rule)
    caps = (cap for cap in (old.max_attempts, new.max_attempts) if cap)  # 0 is no cap
    return replace(new, classes=classes, max_attempts=min(caps, default=0))


def _stricter_rule(old: ClassRule, new: ClassRule) -> ClassRule:
    """The new rule, with the effect, window and group of whichever permits fewer repeats."""
    strict = max(old, new, key=lambda rule: _EFFECT_STRICTNESS.get(rule.effect, _UNSAFE_STRICTNESS))
    window = strict.window
    group = strict.group
    if old.effect == new.effect == "keyed":
        window = min(old.window, new.window)
        group = old.group if new.group == "all" else new.group
    return replace(new, effect=strict.effect, group=group, window=window)
