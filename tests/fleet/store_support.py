"""Writes to the fake store on behalf of another client."""

from pistachiowinch.links.store import Delete, Put
from pistachiowinch.standins.memory_store import MemoryStore


def put(store: MemoryStore, key: str, value: bytes | None) -> None:
    """Write a key immediately; a value of None removes it."""
    store.apply_transact([], [Delete(key) if value is None else Put(key, value)])
