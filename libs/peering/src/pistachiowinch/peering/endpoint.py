"""One host's end of the messages between hosts, independent of how bytes are carried.

Encodes messages as MessagePack, matches answers with requests and calls the handlers. The
``pynng`` link and the in-memory network both build on it, so that tests meet the same encoding.
"""

import asyncio
import random

import msgspec

from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.peers import MessageHandler, PeerUnreachable, RequestHandler

__all__ = ["MAX_RUNNING_HANDLERS", "Envelope", "PeerEndpoint"]

# Bounds the memory that a peer can claim by sending requests faster than they are handled.
MAX_RUNNING_HANDLERS = 1024

_MESSAGE = 0
_REQUEST = 1
_ANSWER = 2

_log = part_logger("peers")


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What travels between two hosts.

    :param receiver: the host it is meant for. Another host may have taken over the address of a
        dead one; without this check its sequence numbers would be confused.
    :param kind: 0 for a message, 1 for a request, 2 for an answer.
    :param call: identifies a request and its answer; 0 for messages.
    :param tag: tag of the body's type.
    :param body: the encoded message.
    :param address: where the sender receives answers; only in requests, for peers that do not
        know the sender yet.
    """

    sender: str
    receiver: str
    kind: int
    call: int
    tag: str
    body: msgspec.Raw
    address: str = ""


class _PendingCall:
    __slots__ = ("answer_type", "future", "host")

    def __init__(self, host: str, answer_type: type[msgspec.Struct], future: asyncio.Future):
        self.host = host
        self.answer_type = answer_type
        self.future = future


def _tag_of(message_type: type[msgspec.Struct]) -> str:
    tag = message_type.__struct_config__.tag
    if not isinstance(tag, str):
        raise TypeError(f"{message_type.__name__} needs a text tag to be sent to peers")
    return tag


class PeerEndpoint:
    """Implements ``links.peers.PeerLink`` except for carrying the bytes.

    A subclass overrides :meth:`_transmit` and calls :meth:`receive` for arriving bytes.

    :param host: this host's name.
    :param metrics: counters of messages and bytes; a private set by default.
    :param address: where peers reach this host; empty if the carrier delivers by name.
    """

    def __init__(self, host: str, metrics: Metrics | None = None, address: str = "") -> None:
        """Create an end without handlers."""
        self.host = host
        self.address = address
        self.metrics = metrics or Metrics()
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._decoders: dict[str, msgspec.msgpack.Decoder] = {}
        self._message_handlers: dict[str, MessageHandler] = {}
        self._request_handlers: dict[str, tuple[RequestHandler, type[msgspec.Struct]]] = {}
        self._answer_types: dict[type[msgspec.Struct], type[msgspec.Struct]] = {}
        self._pending: dict[int, _PendingCall] = {}
        self._running: set[asyncio.Task] = set()
        self._counters: dict[tuple[str, str], object] = {}
        self._sent_bytes = self.metrics.peer_bytes.labels("sent")
        self._received_bytes = self.metrics.peer_bytes.labels("received")
        # A random start keeps answers to a previous run of this host from matching new requests.
        self._next_call = random.SystemRandom().getrandbits(47) | 1 << 47

    def on_message(self, message_type: type[msgspec.Struct], handler: MessageHandler) -> None:
        """Call ``handler(sender, message)`` for each received message of the type."""
        tag = _tag_of(message_type)
        self._decoders[tag] = msgspec.msgpack.Decoder(message_type)
        self._message_handlers[tag] = handler

    def on_request(
        self,
        message_type: type[msgspec.Struct],
        answer_type: type[msgspec.Struct],
        handler: RequestHandler,
    ) -> None:
        """Answer each request of the type with the handler's result."""
        tag = _tag_of(message_type)
        self._decoders[tag] = msgspec.msgpack.Decoder(message_type)
        self._decoders[_tag_of(answer_type)] = msgspec.msgpack.Decoder(answer_type)
        self._request_handlers[tag] = (handler, answer_type)
        self._answer_types[message_type] = answer_type

    async def send(self, host: str, message: msgspec.Struct) -> None:
        """Send without waiting for an answer; never raises for an unreachable peer."""
        self._post(host, _MESSAGE, 0, message)

    async def request(self, host: str, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        """Send and wait for the answer.

        :param timeout_s: seconds to wait for the answer.
        :raises PeerUnreachable: if none arrived in time.
        :raises LookupError: if the type was not registered by :meth:`on_request`.
        """
        answer_type = self._answer_types.get(type(message))
        if answer_type is None:
            raise LookupError(f"{type(message).__name__} is not registered as a request")
        call = self._next_call
        self._next_call += 1
        future = asyncio.get_running_loop().create_future()
        self._pending[call] = _PendingCall(host, answer_type, future)
        try:
            self._post(host, _REQUEST, call, message)
            return await self._wait_for_answer(future, timeout_s)
        except TimeoutError:
            self._count("lost", _tag_of(type(message)))
            raise PeerUnreachable(f"{host} did not answer in {timeout_s} s") from None
        finally:
            self._pending.pop(call, None)

    def receive(self, data: bytes) -> None:
        """Handle bytes that arrived; malformed and unknown ones are counted and dropped.

        :param data: one encoded envelope.
        """
        self._received_bytes.inc(len(data))
        try:
            envelope = self._envelope_decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._count("malformed", "envelope")
            return
        if envelope.receiver != self.host:
            self._count("misaddressed", "envelope")
            return
        decoder = self._decoders.get(envelope.tag)
        if decoder is None:
            # The tag comes from outside, so it must not become a label of its own.
            self._count("unknown", "other")
            return
        try:
            body = decoder.decode(envelope.body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._count("malformed", envelope.tag)
            return
        self._count("received", envelope.tag)
        self._dispatch(envelope, body)

    def close(self) -> None:
        """End running handlers and fail the requests that still wait."""
        for task in tuple(self._running):
            task.cancel()
        for pending in tuple(self._pending.values()):
            if not pending.future.done():
                pending.future.set_exception(PeerUnreachable("the link was closed"))

    def _transmit(self, host: str, data: bytes) -> None:
        """Carry the bytes to a host or lose them; must not block or raise."""
        raise NotImplementedError

    async def _wait_for_answer(self, future: asyncio.Future, timeout_s: float) -> msgspec.Struct:
        async with asyncio.timeout(timeout_s):
            return await future

    def _post(self, host: str, kind: int, call: int, message: msgspec.Struct) -> None:
        tag = _tag_of(type(message))
        body = msgspec.Raw(self._encoder.encode(message))
        address = self.address if kind == _REQUEST else ""
        envelope = Envelope(self.host, host, kind, call, tag, body, address)
        data = self._encoder.encode(envelope)
        self._count("sent", tag)
        self._sent_bytes.inc(len(data))
        self._transmit(host, data)

    def _learn_address(self, host: str, address: str) -> None:
        """Note where a requester receives its answer; carriers by name ignore it."""

    def _dispatch(self, envelope: Envelope, body: msgspec.Struct) -> None:
        if envelope.kind == _ANSWER:
            self._accept_answer(envelope, body)
        elif envelope.kind == _REQUEST and envelope.tag in self._request_handlers:
            self._start_handler(envelope, body)
        elif envelope.kind == _MESSAGE and envelope.tag in self._message_handlers:
            self._call_handler(envelope, body)
        else:
            self._count("unknown", envelope.tag)

    def _accept_answer(self, envelope: Envelope, body: msgspec.Struct) -> None:
        pending = self._pending.get(envelope.call)
        if pending is None or pending.host != envelope.sender:
            # The request timed out, was answered before, or belonged to an earlier run.
            self._count("late", envelope.tag)
        elif not isinstance(body, pending.answer_type):
            self._count("malformed", envelope.tag)
        elif not pending.future.done():
            pending.future.set_result(body)

    def _call_handler(self, envelope: Envelope, body: msgspec.Struct) -> None:
        try:
            self._message_handlers[envelope.tag](envelope.sender, body)
        except Exception:
            # One message that cannot be handled must not stop the receiving task.
            self._count("failed", envelope.tag)
            _log.exception("Handler of {} failed.", envelope.tag)

    def _start_handler(self, envelope: Envelope, body: msgspec.Struct) -> None:
        if len(self._running) >= MAX_RUNNING_HANDLERS:
            self._count("overflow", envelope.tag)
            return
        if envelope.address:
            self._learn_address(envelope.sender, envelope.address)
        task = asyncio.get_running_loop().create_task(self._answer(envelope, body))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _answer(self, envelope: Envelope, body: msgspec.Struct) -> None:
        handler, _ = self._request_handlers[envelope.tag]
        try:
            answer = await handler(envelope.sender, body)
        except Exception:
            # The requester times out, as if the request had been lost.
            self._count("failed", envelope.tag)
            _log.exception("Handler of {} failed.", envelope.tag)
            return
        self._post(envelope.sender, _ANSWER, envelope.call, answer)

    def _count(self, direction: str, kind: str) -> None:
        counter = self._counters.get((direction, kind))
        if counter is None:
            counter = self.metrics.peer_messages.labels(direction, kind)
            self._counters[direction, kind] = counter
        counter.inc()
