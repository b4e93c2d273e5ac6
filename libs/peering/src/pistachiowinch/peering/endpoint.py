"""Endpoint for messages between hosts, independent of the transport.

It encodes messages as MessagePack, matches answers to requests and calls the handlers. The
``pynng`` link and the in-memory network of the tests both build on it and share its encoding.
"""

import asyncio
import random

import msgspec

from pistachiowinch.base.logs import part_logger
from pistachiowinch.base.metrics import Metrics
from pistachiowinch.links.peers import MessageHandler, PeerUnreachable, RequestHandler

__all__ = ["MAX_RUNNING_HANDLERS", "Envelope", "PeerEndpoint"]

# Bounds the memory used by a peer that sends requests faster than they are handled.
MAX_RUNNING_HANDLERS = 1024

_MESSAGE = 0
_REQUEST = 1
_ANSWER = 2

_log = part_logger("peers")


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Frame that carries one message between two hosts.

    :param receiver: host for which the message is meant. Another host may have taken over the
        address of a dead one, and must not accept messages with that one's sequence numbers.
    :param kind: 0 for a message, 1 for a request, 2 for an answer.
    :param call_id: identifies a request and its answer; 0 for messages.
    :param tag: tag of the body's type.
    :param body: the encoded message.
    :param address: address at which the sender receives answers; set only in requests, for peers
        that do not know the sender's address yet.
    """

    sender: str
    receiver: str
    kind: int
    call_id: int
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
    """Base class that implements ``links.peers.PeerLink`` except for the transport.

    A subclass overrides :meth:`_transmit` and calls :meth:`receive` for arriving bytes.

    :param host: this host's name.
    :param metrics: counters of messages and bytes; a private set by default.
    :param address: address at which peers reach this host; empty if the transport delivers by name.
    """

    def __init__(self, host: str, metrics: Metrics | None = None, address: str = "") -> None:
        """Create an endpoint without handlers."""
        self.host = host
        self.address = address
        self.metrics = metrics or Metrics()
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._decoders: dict[str, msgspec.msgpack.Decoder] = {}
        self._message_handlers: dict[str, MessageHandler] = {}
        self._request_handlers: dict[str, tuple[RequestHandler, type[msgspec.Struct]]] = {}
        self._answer_types: dict[type[msgspec.Struct], type[msgspec.Struct]] = {}
        self._pending_calls: dict[int, _PendingCall] = {}
        self._handler_tasks: set[asyncio.Task] = set()
        self._counters: dict[tuple[str, str], object] = {}
        self._sent_bytes = self.metrics.peer_bytes.labels("sent")
        self._received_bytes = self.metrics.peer_bytes.labels("received")
        # With a random start, answers to a previous run of this host do not match new requests.
        self._next_call_id = random.SystemRandom().getrandbits(47) | 1 << 47

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
        call_id = self._next_call_id
        self._next_call_id += 1
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[call_id] = _PendingCall(host, answer_type, future)
        try:
            self._post(host, _REQUEST, call_id, message)
            return await self._wait_for_answer(future, timeout_s)
        except TimeoutError:
            self._count("lost", _tag_of(type(message)))
            raise PeerUnreachable(f"{host} did not answer in {timeout_s} s") from None
        finally:
            self._pending_calls.pop(call_id, None)

    def receive(self, data: bytes) -> None:
        """Handle received bytes; malformed and unknown messages are counted and dropped.

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
            # The tag comes from the network and must not become a metric label.
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
        """Cancel running handlers and fail pending requests."""
        for task in tuple(self._handler_tasks):
            task.cancel()
        for pending in tuple(self._pending_calls.values()):
            if not pending.future.done():
                pending.future.set_exception(PeerUnreachable("the link was closed"))

    def _transmit(self, host: str, data: bytes) -> None:
        """Transmit bytes to a host without a guarantee of delivery; must not block or raise."""
        raise NotImplementedError

    async def _wait_for_answer(self, future: asyncio.Future, timeout_s: float) -> msgspec.Struct:
        async with asyncio.timeout(timeout_s):
            return await future

    def _post(self, host: str, kind: int, call_id: int, message: msgspec.Struct) -> None:
        tag = _tag_of(type(message))
        body = msgspec.Raw(self._encoder.encode(message))
        address = self.address if kind == _REQUEST else ""
        envelope = Envelope(self.host, host, kind, call_id, tag, body, address)
        data = self._encoder.encode(envelope)
        self._count("sent", tag)
        self._sent_bytes.inc(len(data))
        self._transmit(host, data)

    def _learn_address(self, host: str, address: str) -> None:
        """Remember the address for answers to a host; transports that deliver by name ignore it."""

    def _dispatch(self, envelope: Envelope, body: msgspec.Struct) -> None:
        if envelope.kind == _ANSWER:
            self._accept_answer(envelope, body)
        elif envelope.kind == _REQUEST and envelope.tag in self._request_handlers:
            self._start_request_handler(envelope, body)
        elif envelope.kind == _MESSAGE and envelope.tag in self._message_handlers:
            self._run_message_handler(envelope, body)
        else:
            self._count("unknown", envelope.tag)

    def _accept_answer(self, envelope: Envelope, body: msgspec.Struct) -> None:
        pending = self._pending_calls.get(envelope.call_id)
        if pending is None or pending.host != envelope.sender:
            # The request timed out, was already answered, or belongs to an earlier run.
            self._count("late", envelope.tag)
        elif not isinstance(body, pending.answer_type):
            self._count("malformed", envelope.tag)
        elif not pending.future.done():
            pending.future.set_result(body)

    def _run_message_handler(self, envelope: Envelope, body: msgspec.Struct) -> None:
        try:
            self._message_handlers[envelope.tag](envelope.sender, body)
        except Exception:
            # An error in a handler must not stop the receiving task.
            self._count("failed", envelope.tag)
            _log.exception("Handler of {} failed.", envelope.tag)

    def _start_request_handler(self, envelope: Envelope, body: msgspec.Struct) -> None:
        if len(self._handler_tasks) >= MAX_RUNNING_HANDLERS:
            self._count("overflow", envelope.tag)
            return
        if envelope.address:
            self._learn_address(envelope.sender, envelope.address)
        task = asyncio.get_running_loop().create_task(self._run_request_handler(envelope, body))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)

    async def _run_request_handler(self, envelope: Envelope, body: msgspec.Struct) -> None:
        handler, _ = self._request_handlers[envelope.tag]
        try:
            answer = await handler(envelope.sender, body)
        except Exception:
            # The requester then times out, as for a lost request.
            self._count("failed", envelope.tag)
            _log.exception("Handler of {} failed.", envelope.tag)
            return
        self._post(envelope.sender, _ANSWER, envelope.call_id, answer)

    def _count(self, direction: str, kind: str) -> None:
        counter = self._counters.get((direction, kind))
        if counter is None:
            counter = self.metrics.peer_messages.labels(direction, kind)
            self._counters[direction, kind] = counter
        counter.inc()
