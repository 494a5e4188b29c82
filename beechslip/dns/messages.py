"""Pure functions that parse DNS queries and build responses. dnspython converts between messages and bytes."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import Literal

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from beechslip.routing.interface import Settings

RECORD_TTL_S = 0  # one second would exceed the 500 ms within which a draining backend must be out of use
MIN_UDP_MESSAGE_BYTES = 512  # every client accepts messages of this size over UDP (RFC 1035, 4.2.1)
MAX_UDP_MESSAGE_BYTES = 1232  # fits in a packet on nearly all paths (DNS flag day 2020)
MAX_TCP_MESSAGE_BYTES = 65535  # largest length that the prefix can express (RFC 1035, 4.2.2)
SERVICE_LABELS = (b"_http", b"_tcp")
HEADER_BYTES = 12
RESPONSE_BIT = 0x80  # QR, in the header's third byte
OPCODE_AND_RD_BITS = 0x79  # in the same byte
# Used in place of a backend's address when the size of a response must be known before a backend is chosen. All
# addresses have the same size.
ANY_ADDRESS = "255.255.255.255:65535"

QuestionKind = Literal["route", "nodata", "apex", "nxdomain", "refused"]


@dataclass(frozen=True, slots=True)
class Question:
    """The question of a lookup. Kind "route" is routed to a backend, and all other kinds have a fixed response."""

    kind: QuestionKind
    class_name: str = ""
    object: str = ""
    host: dns.name.Name = dns.name.root  # the name without the service labels


def parse_packet(wire: bytes) -> dns.message.Message | None:
    """Return the query in a packet, or ``None`` if it must not be answered. Raises PacketFormatError.

    A response is never answered, because two servers could otherwise keep each other busy for ever.
    """
    if len(wire) < HEADER_BYTES or wire[2] & RESPONSE_BIT:
        return None
    try:
        message = dns.message.from_wire(wire)
    except (dns.exception.DNSException, ValueError, IndexError) as error:
        raise PacketFormatError(wire, str(error)) from None
    return message


class PacketFormatError(Exception):
    """A packet whose header is readable but whose remainder is not."""

    def __init__(self, wire: bytes, reason: str) -> None:
        """Create an error. ``wire`` is the packet, which has at least a complete header."""
        super().__init__(reason)
        self.wire = wire

    def build_response(self) -> bytes:
        """Return a header alone, with FORMERR and the query's id, opcode and RD."""
        flags = RESPONSE_BIT << 8 | (self.wire[2] & OPCODE_AND_RD_BITS) << 8 | dns.rcode.FORMERR
        return self.wire[:2] + flags.to_bytes(2, "big") + bytes(8)


def check_query(query: dns.message.Message) -> dns.rcode.Rcode:
    """Return NOERROR if queries of this form are served, else the response code that says why not."""
    if query.opcode() != dns.opcode.QUERY:
        return dns.rcode.NOTIMP
    if len(query.question) != 1:
        return dns.rcode.FORMERR
    if query.edns > 0:
        return dns.rcode.BADVERS
    return dns.rcode.NOERROR


def parse_question(query: dns.message.Message, zone: dns.name.Name, settings: Settings) -> Question:
    """Return the question of a query that ``check_query`` accepted.

    Names below the zone are ``OBJECT.CLASS`` (A, SRV) and ``_http._tcp.OBJECT.CLASS`` (SRV).
    """
    question_rrset = query.question[0]
    if question_rrset.rdclass != dns.rdataclass.IN or not question_rrset.name.is_subdomain(zone):
        return Question("refused")
    labels = [label.lower() for label in question_rrset.name.relativize(zone).labels]
    if not labels:
        return Question("apex")
    is_service_name = len(labels) == 4 and tuple(labels[:2]) == SERVICE_LABELS
    class_name = labels[-1].decode("utf-8", "replace")
    rule = {name.lower(): rule for name, rule in settings.classes.items()}.get(class_name)
    if rule is None:
        return Question("nxdomain")
    if rule.write:
        # A client that resolves a name runs its request by itself, outside the rules on effects.
        return Question("refused")
    if len(labels) == 1 or (len(labels) == 3 and labels[0] == SERVICE_LABELS[1]):
        return Question("nodata")  # these names exist only because of the names below them
    name = labels[-2].decode("ascii", "replace")
    if not (len(labels) == 2 or is_service_name) or not name.isprintable() or not name.isascii():
        return Question("nxdomain")
    types = {dns.rdatatype.SRV} if is_service_name else {dns.rdatatype.SRV, dns.rdatatype.A}
    if question_rrset.rdtype not in types:
        return Question("nodata")
    host = dns.name.Name(question_rrset.name.labels[2:]) if is_service_name else question_rrset.name
    return Question("route", rule.name, name, host)


def build_response(
    query: dns.message.Message,
    rcode: dns.rcode.Rcode = dns.rcode.NOERROR,
    *,
    extended_error: dns.edns.EDECode | None = None,
    text: str = "",
) -> dns.message.Message:
    """Return a response without records.

    If the query uses EDNS, the response carries the extended error (RFC 8914) and its text.
    """
    response = dns.message.make_response(query, our_payload=MAX_UDP_MESSAGE_BYTES)
    if rcode not in (dns.rcode.REFUSED, dns.rcode.FORMERR, dns.rcode.NOTIMP, dns.rcode.BADVERS):
        response.flags |= dns.flags.AA
    if query.edns >= 0:
        options: list[dns.edns.Option] = []
        if extended_error is not None:
            options.append(dns.edns.EDEOption(extended_error, text or None))
        response.use_edns(0, payload=MAX_UDP_MESSAGE_BYTES, options=options)
    response.set_rcode(rcode)
    return response


def failure_response(query: dns.message.Message, text: str) -> dns.message.Message:
    """Return a SERVFAIL whose extended error has this text."""
    return build_response(query, dns.rcode.SERVFAIL, extended_error=dns.edns.EDECode.OTHER, text=text)


def not_ready_response(query: dns.message.Message, text: str) -> dns.message.Message:
    """Return a SERVFAIL for a query that arrived before the server can answer it."""
    return build_response(query, dns.rcode.SERVFAIL, extended_error=dns.edns.EDECode.NOT_READY, text=text)


def soa_record(zone: dns.name.Name) -> dns.rrset.RRset:
    """Return the zone's SOA record. A negative response may be cached for no longer than other responses."""
    return dns.rrset.from_text(
        zone, RECORD_TTL_S, "IN", "SOA", f"ns.{zone} hostmaster.{zone} 1 60 60 60 {RECORD_TTL_S}"
    )


def negative_response(query: dns.message.Message, zone: dns.name.Name, rcode: dns.rcode.Rcode) -> dns.message.Message:
    """Return a response with this code and the zone's SOA (RFC 2308)."""
    response = build_response(query, rcode)
    response.authority.append(soa_record(zone))
    return response


def apex_response(query: dns.message.Message, zone: dns.name.Name) -> dns.message.Message:
    """Return the response for the zone itself, which has an SOA and a name server."""
    question_rrset = query.question[0]
    records = {
        dns.rdatatype.SOA: soa_record(zone),
        dns.rdatatype.NS: dns.rrset.from_text(zone, RECORD_TTL_S, "IN", "NS", f"ns.{zone}"),
    }
    if question_rrset.rdtype not in records:
        return negative_response(query, zone, dns.rcode.NOERROR)
    response = build_response(query)
    response.answer.append(records[question_rrset.rdtype])
    return response


def backend_response(query: dns.message.Message, question: Question, address: str) -> dns.message.Message:
    """Return a response with the backend at ``address``: an SRV record with its A record, or an A record alone.

    Raises ValueError if the address is not IPv4.
    """
    host, _, port = address.rpartition(":")
    ip = str(ipaddress.IPv4Address(host))
    question_rrset = query.question[0]
    response = build_response(query)
    address_record = dns.rrset.from_text(question.host, RECORD_TTL_S, "IN", "A", ip)
    if question_rrset.rdtype == dns.rdatatype.A:
        response.answer.append(address_record)
    else:
        response.answer.append(
            dns.rrset.from_text(question_rrset.name, RECORD_TTL_S, "IN", "SRV", f"0 0 {int(port)} {question.host}")
        )
        response.additional.append(address_record)
    return response


def udp_size_limit(query: dns.message.Message) -> int:
    """Return the size in bytes of the largest response that the client accepts over UDP (RFC 6891, 6.2.3)."""
    return (
        min(max(query.payload, MIN_UDP_MESSAGE_BYTES), MAX_UDP_MESSAGE_BYTES)
        if query.edns >= 0
        else MIN_UDP_MESSAGE_BYTES
    )


def to_wire(response: dns.message.Message, max_size: int) -> bytes:
    """Return the response's bytes. A response that exceeds ``max_size`` is truncated, with TC set."""
    try:
        return response.to_wire(max_size=max_size)
    except dns.exception.TooBig:
        return truncate_response(response).to_wire(max_size=max_size)


def truncate_response(response: dns.message.Message) -> dns.message.Message:
    """Remove the response's records and set TC, so that its client retries over TCP."""
    response.answer, response.authority, response.additional = [], [], []
    response.flags |= dns.flags.TC
    return response


def fits_backend_response(query: dns.message.Message, question: Question, max_size: int) -> bool:
    """True if a response with a backend will fit in ``max_size`` bytes.

    This is checked before a backend is chosen, because a truncated response names none.
    """
    try:
        backend_response(query, question, ANY_ADDRESS).to_wire(max_size=max_size)
    except dns.exception.TooBig:
        return False
    return True
