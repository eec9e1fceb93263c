"""HTTP client of the platform's list of VMs."""

from collections.abc import Sequence
from typing import NamedTuple
from urllib.parse import quote

from ..ports import ListedVm, Unavailable, VmStatus
from ._http_client import HttpClient


class _TaggedList(NamedTuple):
    entity_tag: str
    vms: Sequence[ListedVm]


class HttpVmList:
    """Client of the VM list.

    Each request sends the entity tag of the last list (RFC 9110, section 13.1.2), so
    that an unchanged list is not sent again, and accepts a compressed answer. Reading
    a full, uncompressed list of 1,200 VMs every 2 s took 726 KB/s.

    Args:
        client: HTTP client of the service.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._last_list = _TaggedList("", [])

    def list_vms(self) -> list[ListedVm] | Unavailable:
        """Return all VMs that the platform knows."""
        last_list = self._last_list
        headers = (
            {"If-None-Match": last_list.entity_tag} if last_list.entity_tag else {}
        )
        reply = self._client.call(
            "vm-list",
            "GET",
            "/vms",
            accepted_statuses=(200, 304),
            extra_headers=headers,
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 304:
            return list(last_list.vms)
        vms = [
            ListedVm(**{**entry, "status": VmStatus(entry["status"])})
            for entry in reply.decode()["vms"]
        ]
        self._last_list = _TaggedList(reply.headers.get("ETag", ""), vms)
        return list(vms)

    def reboot(self, vm_id: str, token: str) -> None | Unavailable:
        """Start a reboot; repeating it with the same ``token`` has no effect."""
        path = f"/vms/{quote(vm_id, safe='')}/reboot"
        reply = self._client.call("vm-reboot", "POST", path, {"token": token})
        return reply if isinstance(reply, Unavailable) else None
