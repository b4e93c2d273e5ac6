"""A network of zones: every link of every host passes a forwarder, and a zone can be cut off."""

import itertools
import json
import time
from pathlib import Path

from harness2.database import Instance, Platform, Service
from harness2.http import HttpServer
from harness2.links import Forwarder
from harness2.processes import HostPlace, HostProcess
from harness2.site import REGIONS
from harness2.store import Store

__all__ = ["ZonedSite"]

_MEMBER_PREFIXES = ("fleet/hosts/", "fleet/members/")
# Zone of the store and of the platform's interface, which is none of the hosts' zones.
_OUTSIDE = ""


class ZonedSite:
    """Hosts and instances in zones, with a store and a platform outside.

    :param folder: receives settings and logs.
    :param service: the instances; their zones count.
    :param names: names of the hosts by zone.
    :ivar cuts: all cuts, as (zone, start, end); the end is infinite while a cut lasts.
    """

    def __init__(
        self, folder: Path, store: Store, service: Service, names: dict[str, list[str]]
    ) -> None:
        """Create everything; :meth:`start` starts it."""
        self.folder, self.store, self.service, self.names = folder, store, service, names
        self.platform = Platform({service.name: service})
        self.hosts: dict[str, HostProcess] = {}
        self.zones = {name: zone for zone, hosts in names.items() for name in hosts}
        self.cuts: list[tuple[str, float, float]] = []
        self._ips: dict[str, str] = {}
        self._ports: list[HttpServer] = []
        # Forwarders by the zones of their ends.
        self._links: list[tuple[str, str, Forwarder]] = []
        self._instance_links: dict[tuple[str, str], str] = {}
        self._peer_links: dict[tuple[str, str], str] = {}
        service.may_reach = self._may_reach

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Start the stand-ins, all links and the hosts, and wait until the hosts are ready."""
        await self.store.start(ip)
        await self.platform.start(ip)
        await self.service.start()
        numbers = itertools.count(10)
        for name, zone in self.zones.items():
            self._ips[name] = f"127.0.0.{next(numbers)}"
            port = await self.store.open_port(ip, self._translator(name))
            self._ports.append(port)
            store_address = await self._link(zone, _OUTSIDE, port.address)
            orders_address = await self._link(zone, _OUTSIDE, self.platform.address)
            place = HostPlace(name, self._ips[name], zone, store_address, orders_address)
            self.hosts[name] = HostProcess(place, self.folder, REGIONS)
            for instance in self.service.instances.values():
                address = await self._link(zone, instance.zone, instance.address)
                self._instance_links[name, instance.address] = address
        for name, other in itertools.permutations(self.hosts, 2):
            host = self.hosts[other]
            address = f"{host.ip}:{host.peer_port}"
            link = await self._link(self.zones[name], self.zones[other], address)
            self._peer_links[name, other] = f"tcp://{link}"
        for host in self.hosts.values():
            await host.start()
        for host in self.hosts.values():
            await host.wait_until_ready()

    async def stop(self) -> None:
        """End all processes, links and stand-ins."""
        for host in self.hosts.values():
            await host.kill()
        for _, _, link in self._links:
            link.stop()
        for port in self._ports:
            port.stop()
        self.service.stop()
        self.platform.stop()
        self.store.stop()

    def cut(self, zone: str) -> None:
        """Partition a zone from everything outside it; callers still reach its hosts."""
        self.cuts.append((zone, time.monotonic(), float("inf")))
        self._set_cut(zone, True)

    def heal(self, zone: str) -> None:
        """End the partition of a zone."""
        self.cuts = [
            (name, start_s, min(end_s, time.monotonic()) if name == zone else end_s)
            for name, start_s, end_s in self.cuts
        ]
        self._set_cut(zone, False)

    def was_cut(self, zone: str, at_s: float, within_s: float) -> bool:
        """Return whether a zone was cut off at a time or shortly before."""
        return any(
            name == zone and start_s <= at_s and end_s >= at_s - within_s
            for name, start_s, end_s in self.cuts
        )

    def _set_cut(self, zone: str, is_cut: bool) -> None:
        for one, other, link in self._links:
            if zone in (one, other) and one != other:
                link.set_cut(is_cut)

    def _may_reach(self, one: Instance, other: Instance) -> bool:
        now_s = time.monotonic()
        cut = {zone for zone, start_s, end_s in self.cuts if start_s <= now_s < end_s}
        return one.zone == other.zone or not cut & {one.zone, other.zone}

    async def _link(self, zone: str, other: str, address: str) -> str:
        link = Forwarder(address)
        await link.start("127.0.0.1")
        self._links.append((zone, other, link))
        return link.address

    def _translator(self, name: str):
        def translate(key: str, value: bytes) -> bytes:
            is_member = key.startswith(_MEMBER_PREFIXES)
            if not (is_member or key.startswith("servers/")):
                return value
            body = json.loads(value)
            if is_member:
                body["peer_url"] = self._peer_links.get((name, body["host"]), body["peer_url"])
            else:
                body["address"] = self._instance_links.get((name, body["address"]), body["address"])
            return json.dumps(body).encode()

        return translate
