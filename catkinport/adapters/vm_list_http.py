"""The platform's list of VMs over HTTP."""

from urllib.parse import quote

from ..ports import ListedVm, Unavailable, VmStatus
from ._http_client import HttpClient


class HttpVmList:
    """Client of the VM list.

    Args:
        client: HTTP client of the service.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def list_vms(self) -> list[ListedVm] | Unavailable:
        """Return all VMs that the platform knows."""
        reply = self._client.call("vm-list", "GET", "/vms")
        if isinstance(reply, Unavailable):
            return reply
        return [
            ListedVm(**{**entry, "status": VmStatus(entry["status"])})
            for entry in reply.decode()["vms"]
        ]

    def reboot(self, vm_id: str, token: str) -> None | Unavailable:
        """Start a reboot; the same ``token`` again has no further effect."""
        path = f"/vms/{quote(vm_id, safe='')}/reboot"
        reply = self._client.call("vm-reboot", "POST", path, {"token": token})
        return reply if isinstance(reply, Unavailable) else None
