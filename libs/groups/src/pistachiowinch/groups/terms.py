"""Term numbers that are unique among hosts without coordination."""

__all__ = ["INCARNATION_BITS", "next_term", "round_of"]

INCARNATION_BITS = 24
_INCARNATION_MASK = (1 << INCARNATION_BITS) - 1


def round_of(term: int) -> int:
    """Return the round of a term, which is its high part."""
    return term >> INCARNATION_BITS


def next_term(highest_known_term: int, incarnation: int) -> int:
    """Return a term above every known one that no other host can choose.

    :param highest_known_term: greatest term that the host has seen or chosen.
    :param incarnation: this host's number, at least 1 and below 2**24.
    :raises ValueError: if the incarnation is out of range.
    """
    if not 0 < incarnation <= _INCARNATION_MASK:
        raise ValueError(f"incarnation {incarnation} cannot be part of a term")
    return (round_of(highest_known_term) + 1) << INCARNATION_BITS | incarnation
