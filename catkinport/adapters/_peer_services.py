"""The gRPC services of a member; each method passes its call to the dispatcher."""

from ..protocol.peer_grpc import AllowancesBase, MembershipBase, QueuesBase
from ._peer_server import CallDispatcher


class MembershipService(MembershipBase):
    """Calls about the membership of peers."""

    def __init__(self, dispatcher: CallDispatcher) -> None:
        self._dispatcher = dispatcher

    async def Confirm(self, stream):  # noqa: N802
        await self._dispatcher.serve("Confirm", stream)

    async def Announce(self, stream):  # noqa: N802
        await self._dispatcher.serve("Announce", stream)

    async def Leave(self, stream):  # noqa: N802
        await self._dispatcher.serve("Leave", stream)

    async def FetchDocument(self, stream):  # noqa: N802
        await self._dispatcher.serve("FetchDocument", stream)


class QueuesService(QueuesBase):
    """Calls about queues."""

    def __init__(self, dispatcher: CallDispatcher) -> None:
        self._dispatcher = dispatcher

    async def Notify(self, stream):  # noqa: N802
        await self._dispatcher.serve("Notify", stream)


class AllowancesService(AllowancesBase):
    """Calls about allowances."""

    def __init__(self, dispatcher: CallDispatcher) -> None:
        self._dispatcher = dispatcher

    async def RequestReturn(self, stream):  # noqa: N802
        await self._dispatcher.serve("RequestReturn", stream)
