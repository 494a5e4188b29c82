"""The DNS front: its messages by tables, and the rules by stand-in clients and resolvers on loopback."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable, Iterable
from typing import Any

import dns.asyncquery
import dns.edns
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdatatype
import pytest

from beechslip.clock import ManualClock
from beechslip.config import Address, DnsConfig
from beechslip.core.attempts import AttemptRunner
from beechslip.core.engine import Engine
from beechslip.core.messages import EndpointListUpdate, RequestReceived
from beechslip.core.model import AttemptResult, Backend, ClientRequest
from beechslip.counters import Counters
from beechslip.dns import messages as m
from beechslip.dns.front import DnsFront
from beechslip.dns.lookup import Lookup
from beechslip.routing import Router
from beechslip.routing import interface as i
from beechslip.routing.placement import mix, stable_hash
from beechslip.routing.wire.settings import read_settings
from lab.stand import SETTINGS, run, until

ZONE = "feeds.caroni.example."
CUT_OFF_MS, HOLD_MS, WAIT_MS = 500.0, 1000.0, 1500.0
BOXES = ("10.1.0.1:7001", "10.1.0.2:7001")
ALL = (
    *(Backend(f"s-{n}", box, "std-box", "edge-1") for n, box in enumerate(BOXES)),
    Backend("hub", "10.2.0.1:7001", "parent", "north"),
    Backend("archive", "10.3.0.1:7001", "origin", "north"),
)


def box(n: int, state: str = "ready", started_ms: float = 0.0) -> Backend:
    return Backend(f"s-{n}", BOXES[n], "std-box", "edge-1", state, started_ms=started_ms)


def home(name: str) -> int:
    """The number of the box that the module's hash gives an object."""
    return max(range(2), key=lambda n: mix(stable_hash(f"{name}\n0"), stable_hash(f"s-{n}")))


class NoHealthChecker:
    """The names' boxes are never asked anything from here."""

    async def health_check(self, backend: Backend) -> AttemptResult:
        raise AssertionError(backend)

    def update_backends(self, backends: Iterable[Backend]) -> None:
        pass


class DnsStand:
    """A proxy with the DNS front alone, on a clock that tests set."""

    def __init__(
        self,
        clock: ManualClock | None = None,
        listed: tuple[Backend, ...] | None = ALL,
        port: int = 0,
        zone: str = ZONE,
        module: Any = None,
    ) -> None:
        self.clock, self.counters, self.settings = clock or ManualClock(), Counters(), read_settings(SETTINGS)
        self.engine = Engine(
            self.settings, module or Router(self.settings, 1), self.clock, NoHealthChecker(), self.counters
        )
        if listed is not None:
            self.engine.handle_message(EndpointListUpdate("all", listed))
        self.front = DnsFront(
            DnsConfig(zone, Address("127.0.0.1", port), HOLD_MS, WAIT_MS),
            self.settings,
            self.clock,
            self.engine.listed.is_set,
            self.engine.post,
            self.counters,
        )

    async def __aenter__(self) -> DnsStand:
        await self.front.start()
        self._task = asyncio.create_task(self.engine.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.front.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def ask(self, name: str, kind: str = "SRV", tcp: bool = False, **how: Any) -> dns.message.Message:
        query = dns.message.make_query(name, kind, **({"use_edns": 0} | how))
        send = dns.asyncquery.tcp if tcp else dns.asyncquery.udp
        return await send(query, "127.0.0.1", port=self.front.port, timeout=10)

    async def raw(self, wire: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.front.port)
        writer.write(struct.pack(">H", len(wire)) + wire)
        try:
            return await reader.readexactly(struct.unpack(">H", await reader.readexactly(2))[0])
        finally:
            writer.close()


class Resolver:
    """A stand-in caching resolver: keeps an answer as long as its TTL says, or ``stretch_s`` at the least."""

    def __init__(self, stand: DnsStand, stretch_s: float = 0.0) -> None:
        self.stand, self.stretch_s = stand, stretch_s
        self.cached: dict[str, tuple[float, str]] = {}
        self.named: list[tuple[float, str]] = []  # every name handed to a client: when, and which box

    async def resolve(self, name: str) -> str | None:
        until_ms, address = self.cached.get(name, (0.0, ""))
        if self.stand.clock.now_ms() >= until_ms:
            answer = await self.stand.ask(f"{name}.waveform.{ZONE}", "A")
            if answer.rcode() != dns.rcode.NOERROR:
                return None
            address = answer.answer[0][0].to_text()  # type: ignore[union-attr]
            ttl_s = max(answer.answer[0].ttl, self.stretch_s)
            self.cached[name] = (self.stand.clock.now_ms() + ttl_s * 1000, address)
        self.named.append((self.stand.clock.now_ms(), address))
        return address

    def late(self, drained: dict[int, float]) -> int:
        """How many names were handed out for a box over 500 ms after it was marked draining."""
        marks = {BOXES[n].split(":")[0]: at for n, at in drained.items()}
        return sum(at > marks[address] + CUT_OFF_MS for at, address in self.named if address in marks)


def own(n: int, count: int = 10) -> list[str]:
    """Objects at home in one box."""
    return [name for name in map(str, range(100)) if home(name) == n][:count]


# The proof: no name is handed out for a box over 500 ms after it was marked draining ----------------


async def drain_after_lookups(resolver: Resolver, again: Callable[[], DnsStand] | None = None) -> int:
    """Clients look names up, one box is marked draining at once after, and they come back for 3 s."""
    stand = resolver.stand
    names = own(0) + own(1)
    for name in names:
        await resolver.resolve(name)
    marked = stand.clock.now_ms()
    assert any(address == BOXES[0].split(":")[0] for _, address in resolver.named)
    stand.engine.post(EndpointListUpdate("changes", (box(0, "draining"),)))
    for _ in range(30):
        stand.clock.advance(100)
        await asyncio.gather(*map(resolver.resolve, names))
    return resolver.late({0: marked})


@run
async def test_a_lookup_just_before_a_drain_leaves_no_late_name() -> None:
    async with DnsStand() as stand:
        assert await drain_after_lookups(Resolver(stand)) == 0


@run
@pytest.mark.parametrize("cause", ["a TTL of a second", "a resolver that stretches TTLs"])
async def test_the_count_of_late_names_can_fail(cause: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if cause == "a TTL of a second":
        monkeypatch.setattr(m, "TTL_S", 1)
    async with DnsStand() as stand:
        resolver = Resolver(stand, 0.0 if cause == "a TTL of a second" else 1.0)
        assert await drain_after_lookups(resolver) > 0


@run
@pytest.mark.parametrize("guarded", [True, False])
async def test_a_drain_between_the_choice_and_the_write(guarded: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    # The module has chosen, the drain arrives, and the write comes late: only the guard at the write helps.
    if not guarded:
        monkeypatch.setattr(AttemptRunner, "_may_send", lambda *_: True)
    async with DnsStand() as stand:
        written: list[dns.message.Message] = []
        name = dns.name.from_text(f"{own(0)[0]}.waveform.{ZONE}")
        query = dns.message.make_query(name, "A")
        question = m.parse_question(query, dns.name.from_text(ZONE), stand.settings)
        lookup = Lookup(query, question, HOLD_MS, written.append, lambda: None)
        call = ClientRequest("d", "waveform", question.object, wait_ms=WAIT_MS, arrived_ms=stand.clock.now_ms())
        resolver, marked = Resolver(stand), stand.clock.now_ms()
        stand.engine.handle_message(RequestReceived(call, lookup, lookup))
        stand.engine.handle_message(EndpointListUpdate("changes", (box(0, "draining"),)))
        stand.clock.advance(600)
        await until(lambda: written)
        resolver.named.append((stand.clock.now_ms(), written[0].answer[0][0].to_text()))  # type: ignore[union-attr]
        assert resolver.late({0: marked}) == (0 if guarded else 1)


@run
@pytest.mark.parametrize(("ttl_s", "fails"), [(0, False), (30, True)])
async def test_a_cached_answer_that_outlives_a_restart(
    ttl_s: int, fails: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(m, "TTL_S", ttl_s)
    async with DnsStand() as before:
        resolver = Resolver(before)
        for name in own(0):
            await resolver.resolve(name)
        port, clock = before.front.port, before.clock
    marked = clock.now_ms()
    clock.advance(3000)  # the proxy is away, and the box drains meanwhile
    known = (box(0, "draining"), *ALL[1:])
    async with DnsStand(clock, listed=None, port=port) as after:
        resolver.stand = after
        first = await resolver.resolve("ff")  # the list is not known yet: nothing is handed out
        assert first is None
        after.engine.post(EndpointListUpdate("remembered", known))
        await after.engine.listed.wait()
        for name in own(0):
            assert await resolver.resolve(name)
    assert (resolver.late({0: marked}) > 0) == fails


@run
@pytest.mark.parametrize("slow_start", [True, False])
async def test_a_burst_does_not_overload_a_backend_in_slow_start(slow_start: bool) -> None:
    rules = read_settings(SETTINGS)
    async with DnsStand() as stand:
        # In 3 s a box that just started may be sent 2.5 times what it can do; unknown, that is one transfer.
        most = (
            rules.overload_multiple
            * rules.slow_start_share
            * rules.overload_window
            / rules.classes["waveform"].latency_objective
        )
        started = stand.clock.now_ms() if slow_start else 0.0
        stand.engine.post(EndpointListUpdate("changes", (box(0, started_ms=started),)))
        resolver = Resolver(stand)
        for _ in range(10):
            await asyncio.gather(*map(resolver.resolve, own(0, 20)))
            stand.clock.advance(100)
        named = [address for _, address in resolver.named]
        assert len(named) == 200
        assert (named.count(BOXES[0].split(":")[0]) <= most) == slow_start


def learned(router: Router) -> list[Any]:
    """What the module knows of speed and success."""
    return [
        (
            s.successes.total,
            s.failures.total,
            s.consecutive_connection_failures,
            s.consecutive_overdue,
            s.concurrency_limit,
            s.lateness.late.total,
            s.lateness.timely.total,
        )
        for s in router.endpoints.backends.values()
    ] + [
        router.limits.parent_fills.fraction,
        router.estimates.overdue_factor,
        router.estimates.mean_transfer_time,
        router.slow_start.capacity,
        [tally.total for tally in router.slow_start.served.values()],
    ]


@run
async def test_a_hand_out_counts_as_in_flight_for_its_time_and_teaches_nothing() -> None:
    heard: list[i.Event] = []

    class Listening(Router):
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            heard.append(event)
            return super().handle(now, event)

    router = Listening(read_settings(SETTINGS), 1)
    async with DnsStand(module=router) as stand:
        before = learned(router)
        await stand.ask(f"{own(0)[0]}.waveform.{ZONE}")
        stand.clock.advance(HOLD_MS - 1)
        await until(lambda: isinstance(heard[-1], (i.ClientGone, i.Timer)))
        assert router.endpoints.backends["s-0"].in_flight == 1 and not router.requests.open
        stand.clock.advance(2)
        await until(lambda: router.endpoints.backends["s-0"].in_flight == 0)
        assert learned(router) == before
        assert stand.counters["answered.served"] == 1


# From lookup to answer -----------------------------------------------------------------------------


@run
@pytest.mark.parametrize("tcp", [False, True])
async def test_a_lookup_is_routed_as_srv_with_its_address_or_as_a(tcp: bool) -> None:
    async with DnsStand() as stand:
        name = own(1)[0]
        for asked in (f"{name}.waveform.{ZONE}", f"_http._tcp.{name}.Waveform.{ZONE}"):
            answer = await stand.ask(asked, tcp=tcp)
            record: Any = answer.answer[0][0]
            assert answer.flags & dns.flags.AA and (answer.answer[0].ttl, record.port) == (0, 7001)
            assert answer.additional[0].name == record.target and answer.additional[0].ttl == 0
            assert answer.additional[0][0].to_text() == "10.1.0.2"
        answer = await stand.ask(f"{name}.waveform.{ZONE}", "A", tcp=tcp)
        assert [rr.to_text() for rr in answer.answer] == [f"{name}.waveform.{ZONE} 0 IN A 10.1.0.2"]


@run
@pytest.mark.parametrize(
    ("name", "kind", "rcode", "types"),
    [
        (f"a.none.{ZONE}", "A", "NXDOMAIN", ["SOA"]),
        (f"a.b.waveform.{ZONE}", "A", "NXDOMAIN", ["SOA"]),
        (f"a.waveform.{ZONE}", "AAAA", "NOERROR", ["SOA"]),
        (f"waveform.{ZONE}", "A", "NOERROR", ["SOA"]),
        (f"_tcp.a.waveform.{ZONE}", "SRV", "NOERROR", ["SOA"]),
        (f"_http._tcp.a.waveform.{ZONE}", "A", "NOERROR", ["SOA"]),
        (f"a.pick-submit.{ZONE}", "SRV", "REFUSED", []),
        ("a.waveform.other.example.", "A", "REFUSED", []),
        (ZONE, "SOA", "NOERROR", []),
        (ZONE, "NS", "NOERROR", []),
        (ZONE, "MX", "NOERROR", ["SOA"]),
    ],
)
async def test_what_is_not_routed(name: str, kind: str, rcode: str, types: list[str]) -> None:
    async with DnsStand() as stand:
        answer = await stand.ask(name, kind)
        assert dns.rcode.to_text(answer.rcode()) == rcode
        assert [dns.rdatatype.to_text(rr.rdtype) for rr in answer.authority] == types
        assert stand.counters["taken"] == 0  # the module is not asked


def errors(answer: dns.message.Message) -> list[str]:
    return [str(o.text) for o in answer.options if isinstance(o, dns.edns.EDEOption)]


class Fixed:
    """A module with one answer to all."""

    def __init__(self, *actions: Callable[[str], i.Action]) -> None:
        self.actions = actions

    def start(self, now: float) -> list[i.Action]:
        return []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        if isinstance(event, i.Request):
            return [action(event.request) for action in self.actions]
        return [i.Fail(event.request)] if isinstance(event, i.Outcome) and not event.finished else []


@run
@pytest.mark.parametrize(
    ("module", "text"),
    [
        (Fixed(lambda r: i.Refuse(r, 0.25)), "refused: come back in 250 ms"),
        (Fixed(i.Fail), "failed"),
        (Fixed(lambda r: i.Attempt(r, "unlisted", "unlisted", 1.0)), "failed"),
    ],
)
async def test_what_the_module_refuses_or_fails_is_a_servfail(module: Fixed, text: str) -> None:
    async with DnsStand(module=module) as stand:
        answer = await stand.ask(f"a.waveform.{ZONE}")
        assert (answer.rcode(), errors(answer), answer.answer) == (dns.rcode.SERVFAIL, [text], [])
        plain = await stand.ask(f"a.waveform.{ZONE}", use_edns=False)
        assert plain.rcode() == dns.rcode.SERVFAIL and plain.edns == -1


@run
async def test_a_lookup_that_nobody_decides_is_a_servfail_in_time() -> None:
    async with DnsStand(module=Fixed()) as stand:
        asked = asyncio.create_task(stand.ask(f"a.waveform.{ZONE}"))
        await until(lambda: stand.counters["taken"])
        stand.clock.advance(WAIT_MS)
        answer = await asked
        assert (answer.rcode(), errors(answer)) == (dns.rcode.SERVFAIL, ["no box in time"])


@run
async def test_a_repeated_lookup_and_one_whose_asker_left_are_not_handed_out_twice() -> None:
    async with DnsStand(module=Fixed()) as stand:
        wire = dns.message.make_query(f"a.waveform.{ZONE}", "A", id=7).to_wire()
        answers: list[bytes] = []
        for _ in range(2):
            stand.front.handle_packet(wire, answers.append, "peer", udp=True)
        await until(lambda: stand.counters["taken"])
        assert stand.counters["taken"] == 1 and stand.counters["dns.repeated"] == 1
        _, writer = await asyncio.open_connection("127.0.0.1", stand.front.port)
        writer.write(struct.pack(">H", len(wire)) + wire)
        await until(lambda: stand.counters["taken"] == 2)
        writer.close()
        await until(lambda: stand.counters["left"])
        assert len(stand.front._pending) == 1 and not answers


@run
async def test_no_box_is_handed_out_to_an_asker_that_has_left_though_the_engine_has_not_heard_of_it() -> None:
    async with DnsStand() as stand:
        wire, answers = dns.message.make_query(f"a.waveform.{ZONE}", "A", id=7).to_wire(), list[bytes]()
        posted = stand.front.handle_packet(wire, answers.append, "peer", udp=False)
        assert posted is not None
        posted[1].abandon()
        await until(lambda: stand.counters["departed"])
        assert not answers and not stand.front._pending


HEAD = struct.pack(">HHHHHH", 7, 0x0100, 1, 0, 0, 0)
QUESTION = b"\x01a\x08waveform\x05feeds\x06caroni\x07example\x00\x00\x01\x00\x01"


@run
@pytest.mark.parametrize(
    ("wire", "rcode"),
    [
        (HEAD, "FORMERR"),
        (HEAD + b"\x3f", "FORMERR"),
        (HEAD + QUESTION + b"trailing", "FORMERR"),
        (HEAD + b"\xc0\x0c\x00\x01\x00\x01", "FORMERR"),
        (struct.pack(">HHHHHH", 7, 0, 0, 0, 0, 0), "FORMERR"),
        (struct.pack(">HHHHHH", 7, 0x2000, 1, 0, 0, 0) + QUESTION, "NOTIMP"),
        (HEAD[:10] + b"\x00\x01" + QUESTION + b"\x00\x00\x29\x04\xd0\x00\x01\x00\x00\x00\x00", "BADVERS"),
    ],
)
async def test_a_bad_packet_gets_one_plain_answer(wire: bytes, rcode: str) -> None:
    async with DnsStand() as stand:
        got = await stand.raw(wire)
        assert got[:2] == wire[:2] and got[2] & 0x80
        assert dns.rcode.to_text(dns.message.from_wire(got).rcode()) == rcode
        assert (await stand.ask(f"a.waveform.{ZONE}")).rcode() == dns.rcode.NOERROR


@pytest.mark.parametrize("wire", [b"", HEAD[:11], b"\x00\x07\x80\x00" + HEAD[4:] + QUESTION])
def test_a_short_packet_or_an_answer_is_dropped(wire: bytes) -> None:
    # An answer that is answered could keep two servers busy with each other for ever.
    assert m.parse_packet(wire) is None


@run
async def test_an_answer_too_large_for_udp_is_cut_and_hands_out_no_box() -> None:
    zone = ".".join(["z" * 50] * 3) + "."
    async with DnsStand(zone=zone) as stand:
        name = f"_http._tcp.{'a' * 63}.waveform.{zone}"
        cut = await stand.ask(name, use_edns=False)
        assert cut.flags & dns.flags.TC and not cut.answer and stand.counters["taken"] == 0
        complete = await stand.ask(name, use_edns=False, tcp=True)
        assert len(complete.answer) == 1 and not complete.flags & dns.flags.TC
        assert (await stand.ask(name, payload=1232)).answer
