"""Hosts must order the same members identically."""

from pistachiowinch.base.hashing import rendezvous_order

HOSTS = [f"host-{number}" for number in range(9)]


def test_order_ignores_the_input_order():
    assert rendezvous_order("hires", HOSTS) == rendezvous_order("hires", reversed(HOSTS))


def test_removing_a_member_keeps_the_order_of_the_others():
    full = rendezvous_order("hires", HOSTS)
    without_first = rendezvous_order("hires", [host for host in HOSTS if host != full[0]])
    assert without_first == full[1:]
