"""New settings on SIGHUP: which files are used, what holds meanwhile, and what open requests keep."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import dns.rcode
import pytest

from beechslip.config import ConfigError, read_config, reread_config
from beechslip.core.messages import SettingsChanged
from beechslip.core.settings_transition import TRANSITION_MS, stricter_of_both
from beechslip.proxy import Proxy
from beechslip.routing import interface as i
from beechslip.routing.wire.settings import read_settings
from lab.stand import HANG, OK, RESET, SETTINGS, InProcessProxy, fetch, run, until
from tests.helpers import Stage, attempts
from tests.test_dns import ZONE, DnsStand
from tests.test_program import program
from tests.test_rules import Plan, boxes

BEFORE = read_settings(SETTINGS)


def rule(name: str, effect: str = "safe", group: str = "all", window: float = 5.0) -> i.ClassRule:
    return i.ClassRule(name, deadline=2.0, effect=effect, group=group, window=window)


@pytest.mark.parametrize(
    ("old", "new", "both"),
    [
        (("safe", "all", 5.0), ("unsafe", "all", 5.0), ("unsafe", "all", 5.0)),
        (("unsafe", "all", 5.0), ("safe", "all", 5.0), ("unsafe", "all", 5.0)),
        (("keyed", "zone", 3.0), ("safe", "all", 5.0), ("keyed", "zone", 3.0)),
        (("keyed", "all", 3.0), ("keyed", "all", 5.0), ("keyed", "all", 3.0)),
        (("keyed", "zone", 6.0), ("keyed", "all", 5.0), ("keyed", "zone", 5.0)),
        (("keyed", "all", 6.0), ("keyed", "zone", 5.0), ("keyed", "zone", 5.0)),
        (("", "all", 5.0), ("keyed", "all", 5.0), ("", "all", 5.0)),
    ],
)
def test_until_new_settings_bind_the_stricter_rule_holds(old: Any, new: Any, both: Any) -> None:
    one, two = (replace(BEFORE, classes={"c": rule("c", *how)}) for how in (old, new))
    both_rules = stricter_of_both(one, two).classes["c"]
    assert (both_rules.effect, both_rules.group, both_rules.window) == both


@pytest.mark.parametrize(("old", "new", "both"), [(8, 2, 2), (2, 8, 2), (0, 3, 3), (3, 0, 3), (0, 0, 0)])
def test_until_new_settings_bind_classes_of_both_hold_and_the_fewer_attempts(old: int, new: int, both: int) -> None:
    one = replace(BEFORE, max_attempts=old, classes={"a": rule("a"), "b": rule("b")})
    two = replace(BEFORE, max_attempts=new, classes={"b": rule("b"), "c": rule("c")}, tells="all")
    both_rules = stricter_of_both(one, two)
    assert (
        sorted(both_rules.classes) == ["a", "b", "c"]
        and both_rules.max_attempts == both
        and both_rules.tells == "all"
    )


def config_file(change: Callable[[dict[str, Any]], object] = lambda file: None) -> dict[str, Any]:
    file: dict[str, Any] = copy.deepcopy(
        {
            "name": "n3",
            "listen": "127.0.0.1:1",
            "changelog": "127.0.0.1:2",
            "limits": {"sockets": 256},
            "known": {"seq": 1},
            "settings": SETTINGS,
        }
    )
    change(file)
    return file


def _class(file: dict[str, Any], place: int) -> dict[str, Any]:
    entry: dict[str, Any] = file["settings"]["classes"][place]
    return entry


def _grow(file: dict[str, Any]) -> None:
    file["settings"]["classes"].append(_class(file, 1) | {"name": "plot-2"})
    for name, value in (("goesThrough", False), ("maxAge", 3.0), ("staleFor", 0.0)):
        file["settings"]["specifics"][name] = [*file["settings"]["specifics"][name], value]


BAD: list[Callable[[dict[str, Any]], object]] = [
    lambda f: f.pop("settings"),
    lambda f: f.pop("known"),
    lambda f: f.pop("changelog"),
    lambda f: f["limits"].pop("sockets"),
    lambda f: f["settings"].pop("classes"),
    lambda f: f["settings"]["caps"].pop("maxAttempts"),
    lambda f: f["settings"]["specifics"].pop("tells"),
    lambda f: _class(f, 0).pop("effect"),
    lambda f: _class(f, 1).pop("giveUp"),
    lambda f: f["settings"].update(classes=[]),
    lambda f: f["settings"].update(classes={}),
    lambda f: f["settings"]["classes"].append(7),
    lambda f: f["settings"]["classes"].pop(),
    lambda f: f["settings"]["classes"].append(_class(f, 0)),
    lambda f: _class(f, 2).update(name=""),
    *(lambda f, bad=bad: _class(f, 0).update(giveUp=bad) for bad in (-5, 0, "6", None, True, [])),
    *(lambda f, bad=bad: f["settings"]["caps"].update(maxAttempts=bad) for bad in (0, -1, "8", None, True)),
]


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b"{",
        json.dumps(config_file()).encode()[:700],
        b"[]",
        b"null",
        *(json.dumps(config_file(change)).encode() for change in BAD),
    ],
)
def test_an_incomplete_or_bad_file_is_rejected(tmp_path: Path, bad: bytes) -> None:
    path, env = tmp_path / "config.json", {"EDGE_CONFIG": str(tmp_path / "config.json")}
    path.write_text(json.dumps(config_file()))
    before = read_config(env)
    path.write_bytes(bad)
    with pytest.raises(ConfigError):
        reread_config(before, env)


def test_a_complete_file_is_used(tmp_path: Path) -> None:
    path, env = tmp_path / "config.json", {"EDGE_CONFIG": str(tmp_path / "config.json")}
    path.write_text(json.dumps(config_file()))
    before = read_config(env)
    path.write_text(json.dumps(config_file(_grow)))
    grown = reread_config(before, env)
    assert grown.settings.classes["plot-2"].fresh == 3.0
    path.write_text(json.dumps(config_file()))
    assert list(reread_config(grown, env).settings.classes) == ["waveform", "plot", "pick-submit"]


@run
async def test_an_open_request_keeps_the_rule_of_its_class() -> None:
    unsafe = replace(
        BEFORE, classes={"waveform": replace(BEFORE.classes["waveform"], effect="unsafe")}, max_attempts=2
    )
    async with InProcessProxy(*boxes(HANG), module=Plan("a", "b")) as stand:
        asked = stand.ask()
        await until(lambda: stand.backends[0].seen)
        stand.engine.post(SettingsChanged(unsafe))
        await until(lambda: stand.engine.settings is unsafe)
        stand.backends[1].script = [OK]
        next(iter(stand.engine._attempts.in_flight.values())).stop("cancelled")
        assert (await asked)[0] == 200  # repeated, as its class allowed when it was taken
        stand.backends[0].script = [RESET]
        count = len(stand.backends[1].seen)
        assert (await stand.ask())[0] == 502 and len(stand.backends[1].seen) == count
        assert i.SettingsChanged(unsafe) in stand.module.heard


@run
async def test_a_dns_lookup_goes_by_the_new_classes() -> None:
    async with DnsStand() as stand:
        assert (await stand.ask(f"7f3a.plot.{ZONE}")).rcode() == dns.rcode.NOERROR
        stand.front.retune(replace(BEFORE, classes={"waveform": BEFORE.classes["waveform"]}))
        assert (await stand.ask(f"7f3a.plot.{ZONE}")).rcode() == dns.rcode.NXDOMAIN
        assert (await stand.ask(f"7f3a.waveform.{ZONE}")).rcode() == dns.rcode.NOERROR


def test_the_router_takes_the_new_class_and_drops_the_old_one() -> None:
    stage = Stage()
    assert not attempts(stage.ask(rule="new"))
    settings = stage.router.context.settings
    stage.give(i.SettingsChanged(replace(settings, classes={"new": replace(settings.classes["big"], name="new")})))
    assert attempts(stage.ask(rule="new")) and not attempts(stage.ask(rule="big"))


@run
async def test_sighup_takes_up_the_new_class_at_once_and_drops_the_old_one_later(tmp_path: Path) -> None:
    async with program(tmp_path) as one:
        path = one.write_config()
        this = Proxy(read_config({"EDGE_CONFIG": str(path)}))
        task = asyncio.create_task(this.run())
        await one.ready()
        file = json.loads(path.read_text())
        file["settings"]["classes"][1]["name"] = "plot-2"
        path.write_text(json.dumps(file))

        async def statuses() -> list[int]:
            return [(await fetch(one.port, f"/rpc/{name}/9c"))[0] for name in ("plot", "plot-2")]

        assert await statuses() == [200, 404]
        this.reload({"EDGE_CONFIG": str(path)})
        assert await statuses() == [200, 200]
        path.write_text(path.read_text()[:900])
        this.reload({"EDGE_CONFIG": str(path)})
        assert this.counters["reloads"] == this.counters["reloads.refused"] == 1
        while await statuses() != [404, 200]:
            await asyncio.sleep(TRANSITION_MS / 10_000)
        this.stopping.set()
        await task
