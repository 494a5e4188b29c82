"""Tests of new settings on SIGHUP: accepted files, the transition, and what requests that are open keep."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, cast
from unittest.mock import Mock

import dns.rcode
import pytest

from beechslip.clock import ManualClock
from beechslip.config import ConfigError, ConfigUnreadableError, read_config, reread_config
from beechslip.core.messages import SettingsChanged
from beechslip.core.settings_transition import TRANSITION_MS, stricter_settings
from beechslip.counters import Counters
from beechslip.fleet.settings import FleetConfig
from beechslip.peering import settings_digest
from beechslip.proxy import Proxy
from beechslip.reload import RELOAD_RETRY_DELAY_MS, ConfigReloader
from beechslip.routing import interface as i
from beechslip.routing.wire.settings import read_settings
from lab.stand import HANG, OK, RESET, SETTINGS, InProcessProxy, fetch, run, until
from tests.helpers import RouterDriver, attempts
from tests.test_dns import ZONE, DnsStand
from tests.test_program import proxy_process
from tests.test_rules import ScriptedRouter, default_backends

OLD_SETTINGS = read_settings(SETTINGS)


def rule(name: str, effect: str = "safe", group: str = "all", window: float = 5.0) -> i.ClassRule:
    return i.ClassRule(name, deadline=2.0, effect=effect, group=group, window=window)


@pytest.mark.parametrize(
    ("old", "new", "expected"),
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
def test_stricter_settings_take_the_stricter_rule_of_a_class(old: Any, new: Any, expected: Any) -> None:
    old_settings, new_settings = (replace(OLD_SETTINGS, classes={"c": rule("c", *fields)}) for fields in (old, new))
    stricter = stricter_settings(old_settings, new_settings).classes["c"]
    assert (stricter.effect, stricter.group, stricter.window) == expected


@pytest.mark.parametrize(("old", "new", "expected"), [(8, 2, 2), (2, 8, 2), (0, 3, 3), (3, 0, 3), (0, 0, 0)])
def test_stricter_settings_have_the_classes_of_both_and_the_lower_attempt_limit(
    old: int, new: int, expected: int
) -> None:
    old_settings = replace(OLD_SETTINGS, max_attempts=old, classes={"a": rule("a"), "b": rule("b")})
    new_settings = replace(OLD_SETTINGS, max_attempts=new, classes={"b": rule("b"), "c": rule("c")}, tells="all")
    stricter = stricter_settings(old_settings, new_settings)
    assert (
        sorted(stricter.classes) == ["a", "b", "c"] and stricter.max_attempts == expected and stricter.tells == "all"
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


def _class_entry(file: dict[str, Any], index: int) -> dict[str, Any]:
    entry: dict[str, Any] = file["settings"]["classes"][index]
    return entry


def _add_class(file: dict[str, Any]) -> None:
    file["settings"]["classes"].append(_class_entry(file, 1) | {"name": "plot-2"})
    for name, value in (("goesThrough", False), ("maxAge", 3.0), ("staleFor", 0.0)):
        file["settings"]["specifics"][name] = [*file["settings"]["specifics"][name], value]


INVALID_CHANGES: list[Callable[[dict[str, Any]], object]] = [
    lambda f: f.pop("settings"),
    lambda f: f.pop("known"),
    lambda f: f.pop("changelog"),
    lambda f: f["limits"].pop("sockets"),
    lambda f: f["settings"].pop("classes"),
    lambda f: f["settings"]["caps"].pop("maxAttempts"),
    lambda f: f["settings"]["specifics"].pop("tells"),
    lambda f: _class_entry(f, 0).pop("effect"),
    lambda f: _class_entry(f, 1).pop("giveUp"),
    lambda f: f["settings"].update(classes=[]),
    lambda f: f["settings"].update(classes={}),
    lambda f: f["settings"]["classes"].append(7),
    lambda f: f["settings"]["classes"].pop(),
    lambda f: f["settings"]["classes"].append(_class_entry(f, 0)),
    lambda f: _class_entry(f, 2).update(name=""),
    *(
        lambda f, invalid=invalid: _class_entry(f, 0).update(giveUp=invalid)
        for invalid in (-5, 0, "6", None, True, [])
    ),
    *(
        lambda f, invalid=invalid: f["settings"]["caps"].update(maxAttempts=invalid)
        for invalid in (0, -1, "8", None, True)
    ),
]


@pytest.mark.parametrize(
    "invalid",
    [
        b"",
        b"{",
        json.dumps(config_file()).encode()[:700],
        b"[]",
        b"null",
        *(json.dumps(config_file(change)).encode() for change in INVALID_CHANGES),
    ],
)
def test_reread_config_rejects_an_incomplete_or_invalid_file(tmp_path: Path, invalid: bytes) -> None:
    path, env = tmp_path / "config.json", {"EDGE_CONFIG": str(tmp_path / "config.json")}
    path.write_text(json.dumps(config_file()))
    old_config = read_config(env)
    path.write_bytes(invalid)
    with pytest.raises(ConfigError):
        reread_config(old_config, env)


def test_reread_config_takes_the_settings_of_a_complete_file(tmp_path: Path) -> None:
    path, env = tmp_path / "config.json", {"EDGE_CONFIG": str(tmp_path / "config.json")}
    path.write_text(json.dumps(config_file()))
    old_config = read_config(env)
    path.write_text(json.dumps(config_file(_add_class)))
    with_new_class = reread_config(old_config, env)
    assert with_new_class.settings.classes["plot-2"].fresh == 3.0
    path.write_text(json.dumps(config_file()))
    assert list(reread_config(with_new_class, env).settings.classes) == ["waveform", "plot", "pick-submit"]


def _give_every_class_a_stretch(file: dict[str, Any]) -> None:
    for entry in file["settings"]["classes"]:
        entry["aimStretch"] = 2.0
    file["settings"] |= {"costs": {"probe": 0.01, "fleet": 0.1}, "novelty": {"depth": 3}}


GOOD_CHANGES: list[Callable[[dict[str, Any]], object]] = [
    _add_class,  # the new class has no aimStretch
    lambda f: _class_entry(f, 0).pop("aimStretch"),
    lambda f: f["settings"]["costs"].pop("fleet"),
    lambda f: f["settings"].pop("novelty"),  # a key that the page does not name
    lambda f: f["settings"].update(novelty="none"),
]


@pytest.mark.parametrize("change", GOOD_CHANGES)
def test_reread_config_takes_a_file_that_lacks_only_keys_that_may_be_absent(
    tmp_path: Path, change: Callable[[dict[str, Any]], object]
) -> None:
    """Guards against a good file that is turned down because all classes of the last one had an optional key."""
    path, env = tmp_path / "config.json", {"EDGE_CONFIG": str(tmp_path / "config.json")}
    before = config_file(_give_every_class_a_stretch)
    path.write_text(json.dumps(before))
    old_config = read_config(env)
    after = copy.deepcopy(before)
    change(after)
    if change is _add_class:
        del after["settings"]["classes"][-1]["aimStretch"]
    path.write_text(json.dumps(after | {"changelog": "127.0.0.1:3"}))
    new_config = reread_config(old_config, env)
    assert str(new_config.changelog_address) == "127.0.0.1:3"
    assert len(new_config.settings.classes) == len(after["settings"]["classes"])


@pytest.mark.parametrize(
    "change",
    [
        lambda f: _class_entry(f, 0).update(aimStretch="2.0"),
        lambda f: _class_entry(f, 2).update(aimStretch=None),
        lambda f: f["settings"]["costs"].update(fleet=[]),
        lambda f: f["settings"]["costs"].pop("probe"),
        lambda f: _class_entry(f, 1).pop("window"),
        lambda f: f["limits"].pop("sockets"),
    ],
)
def test_reread_config_rejects_a_required_key_that_is_missing_and_an_optional_one_of_another_type(
    tmp_path: Path, change: Callable[[dict[str, Any]], object]
) -> None:
    """Guards against the reverse: a file that is wrong in one place is still turned down whole."""
    path, env = tmp_path / "config.json", {"EDGE_CONFIG": str(tmp_path / "config.json")}
    before = config_file(_give_every_class_a_stretch)
    path.write_text(json.dumps(before))
    old_config = read_config(env)
    change(before)
    path.write_text(json.dumps(before))
    with pytest.raises(ConfigError):
        reread_config(old_config, env)


@pytest.mark.parametrize("text", ["enabled = true\nzone = 'z'\nlisten = 7\n", "enabled = tru"])
def test_reread_config_does_not_read_the_dns_file(tmp_path: Path, text: str) -> None:
    """Guards against a good configuration that is turned down for a file that holds only from the next start on."""
    path, dns_path = tmp_path / "config.json", tmp_path / "dns.toml"
    dns_path.write_text("enabled = true\nzone = 'z'\nlisten = '127.0.0.1:5353'\n")
    env = {"EDGE_CONFIG": str(path), "EDGE_DNS": str(dns_path)}
    path.write_text(json.dumps(config_file()))
    old_config = read_config(env)
    dns_path.write_text(text)
    path.write_text(json.dumps(config_file(_add_class)))
    new_config = reread_config(old_config, env)
    assert "plot-2" in new_config.settings.classes and new_config.dns == old_config.dns is not None
    with pytest.raises(ConfigError):
        read_config(env)  # a start reports it


class FakePeering:
    """Records the fleet files that were applied."""

    def __init__(self) -> None:
        self.settings_digest = 0
        self.applied: list[str] = []

    def reload(self, fleet: FleetConfig, settings: i.Settings) -> None:
        self.applied.append(fleet.name)


FLEET_TEXT = "enabled = true\nname = 'f2'\npeers = ['127.0.0.1:1']\n"


@pytest.mark.parametrize("fleet_text", ["enabled = true\nnovelty = 1\n", "enabled = false\n", "enabled = tru"])
def test_a_reload_takes_the_settings_beside_a_fleet_file_that_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fleet_text: str
) -> None:
    """Guards against a good configuration that is turned down for a fault in the fleet file."""
    path, fleet_path = tmp_path / "config.json", tmp_path / "fleet.toml"
    env = {"EDGE_CONFIG": str(path)}
    monkeypatch.setenv("EDGE_FLEET", str(fleet_path))
    path.write_text(json.dumps(config_file()))
    reloader = ConfigReloader(read_config(env), ManualClock(), counters := Counters())
    reloader.peering = peering = cast(Any, FakePeering())
    path.write_text(json.dumps(config_file(_add_class)))
    fleet_path.write_text(fleet_text)
    reloader.reload(env)
    assert "plot-2" in reloader.settings.classes and peering.settings_digest == settings_digest(reloader.config)
    assert peering.applied == [] and counters["reloads"] == counters["reloads.refused"] == 1
    fleet_path.write_text(FLEET_TEXT)
    reloader.reload(env)
    assert peering.applied == ["f2"] and (counters["reloads"], counters["reloads.refused"]) == (2, 1)


def test_a_fleet_file_that_can_not_be_read_for_a_moment_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against new settings that wait for, or are lost with, a fleet file that can't be opened."""
    path, fleet_path = tmp_path / "config.json", tmp_path / "fleet.toml"
    env = {"EDGE_CONFIG": str(path)}
    monkeypatch.setenv("EDGE_FLEET", str(fleet_path))
    path.write_text(json.dumps(config_file()))
    fleet_path.write_text(FLEET_TEXT)
    reloader = ConfigReloader(read_config(env), clock := ManualClock(), counters := Counters())
    reloader.peering = peering = cast(Any, FakePeering())
    path.write_text(json.dumps(config_file(_add_class)))
    with monkeypatch.context() as patched:
        unreadable = ConfigUnreadableError("no descriptor")
        patched.setattr("beechslip.reload.read_fleet", Mock(side_effect=unreadable))
        reloader.reload(env)
        clock.advance(RELOAD_RETRY_DELAY_MS)
        assert "plot-2" in reloader.settings.classes and peering.applied == []
    clock.advance(RELOAD_RETRY_DELAY_MS)
    assert peering.applied == ["f2"] and (counters["reloads"], counters["reloads.refused"]) == (1, 0)


@run
async def test_an_open_request_keeps_the_rule_of_its_class() -> None:
    unsafe = replace(
        OLD_SETTINGS, classes={"waveform": replace(OLD_SETTINGS.classes["waveform"], effect="unsafe")}, max_attempts=2
    )
    async with InProcessProxy(*default_backends(HANG), module=ScriptedRouter("a", "b")) as stand:
        answer = stand.ask()
        await until(lambda: stand.backends[0].seen)
        stand.engine.post(SettingsChanged(unsafe))
        await until(lambda: stand.engine.settings is unsafe)
        stand.backends[1].script = [OK]
        next(iter(stand.engine._attempts.in_flight.values())).stop("cancelled")
        assert (await answer)[0] == 200  # repeated, as its class allowed when the request was received
        stand.backends[0].script = [RESET]
        count = len(stand.backends[1].seen)
        assert (await stand.ask())[0] == 502 and len(stand.backends[1].seen) == count
        assert i.SettingsChanged(unsafe) in stand.module.received_events


@run
async def test_dns_lookups_use_the_new_classes() -> None:
    async with DnsStand() as stand:
        assert (await stand.ask(f"7f3a.plot.{ZONE}")).rcode() == dns.rcode.NOERROR
        stand.front.retune(replace(OLD_SETTINGS, classes={"waveform": OLD_SETTINGS.classes["waveform"]}))
        assert (await stand.ask(f"7f3a.plot.{ZONE}")).rcode() == dns.rcode.NXDOMAIN
        assert (await stand.ask(f"7f3a.waveform.{ZONE}")).rcode() == dns.rcode.NOERROR


def test_router_serves_a_new_class_and_no_longer_serves_a_removed_one() -> None:
    driver = RouterDriver()
    assert not attempts(driver.ask(rule="new"))
    settings = driver.router.context.settings
    driver.handle_event(
        i.SettingsChanged(replace(settings, classes={"new": replace(settings.classes["big"], name="new")}))
    )
    assert attempts(driver.ask(rule="new")) and not attempts(driver.ask(rule="big"))


@run
async def test_reload_serves_a_new_class_at_once_and_drops_the_old_one_after_the_transition(tmp_path: Path) -> None:
    async with proxy_process(tmp_path) as testbed:
        path = testbed.write_config()
        proxy = Proxy(read_config({"EDGE_CONFIG": str(path)}))
        task = asyncio.create_task(proxy.run())
        await testbed.wait_until_ready()
        file = json.loads(path.read_text())
        file["settings"]["classes"][1]["name"] = "plot-2"
        path.write_text(json.dumps(file))

        async def statuses() -> list[int]:
            return [(await fetch(testbed.port, f"/rpc/{name}/9c"))[0] for name in ("plot", "plot-2")]

        assert await statuses() == [200, 404]
        proxy.reload({"EDGE_CONFIG": str(path)})
        assert await statuses() == [200, 200]
        path.write_text(path.read_text()[:900])
        proxy.reload({"EDGE_CONFIG": str(path)})
        assert proxy.counters["reloads"] == proxy.counters["reloads.refused"] == 1
        while await statuses() != [404, 200]:
            await asyncio.sleep(TRANSITION_MS / 10_000)
        proxy.stopping.set()
        await task
