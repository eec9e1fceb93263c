"""Tests of the bounds on clients, and of who gives way at them."""

from ..client_limits import (
    LARGE_FRACTION,
    MAX_PIPELINED,
    Client,
    ClientBounds,
    ClientLedger,
    derive_bounds,
)

BOUNDS = ClientBounds(
    held_bytes=1_000_000,
    connections=8,
    connections_per_address=6,
    unfinished_per_address=6,
)
LARGE = 200_000
SMALL = 10_000


def add(ledger, name, now=0.0, address="a"):
    client = Client(name, address, now)
    assert ledger.open(client, now).is_admitted
    return client


def send(ledger, client, n_bytes, n_received, now=0.0, is_large=False):
    """Let a client send part of a request for which memory is reserved."""
    ledger.begin(client, now)
    client.note_received(n_received, now)
    return ledger.reserve(client, n_bytes, is_large, now)


def fill(ledger, now=0.0):
    """Let large requests take all memory that they may take."""
    n_clients = int(BOUNDS.held_bytes * LARGE_FRACTION / LARGE)
    clients = [add(ledger, f"large-{n}", now) for n in range(n_clients)]
    assert all(send(ledger, c, LARGE, 1000, now, True).is_admitted for c in clients)
    return clients


class TestBounds:
    def test_the_smallest_vm_holds_its_bounds(self):
        """Guards against bounds that exceed the memory or the descriptors of a VM."""
        bounds = derive_bounds(160, 4100)
        # A daemon at rest takes 45 MB and an idle connection 6 KB; 20 KB leave room for
        # what an unfinished request adds to it.
        needed_kb = 45 * 1024 + bounds.held_bytes / 1024 + bounds.connections * 20
        assert needed_kb < 100 * 1024
        assert bounds.connections <= (4100 - 200) / 2

    def test_an_address_may_have_most_of_the_connections(self):
        """Guards against a load balancer whose callers are refused."""
        bounds = derive_bounds(0, 0)
        assert bounds.connections_per_address >= bounds.connections / 2

    def test_settings_override_the_size_of_the_vm(self):
        bounds = derive_bounds(160, 4100, held_bytes=5, connections=7)
        assert bounds[:2] == (5, 7)


class TestHeldMemory:
    def test_a_small_request_fits_beside_large_ones(self):
        """Guards against large requests that take all memory."""
        ledger = ClientLedger(BOUNDS)
        fill(ledger)
        admission = send(ledger, add(ledger, "small"), SMALL, SMALL)
        assert admission.is_admitted
        assert not admission.displaced

    def test_a_large_request_is_refused_while_others_make_progress(self):
        """Guards against requests that displace each other, so that none ends."""
        ledger = ClientLedger(BOUNDS)
        clients = fill(ledger)
        for client in clients:
            client.note_received(100_000, 2.0)
        newcomer = add(ledger, "new", 2.5)
        assert not send(ledger, newcomer, LARGE, 1000, 2.5, True).is_admitted
        assert ledger.held_bytes == len(clients) * LARGE

    def test_a_large_request_displaces_the_one_that_makes_least_progress(self):
        """Guards against requests that stop short and keep the memory."""
        ledger = ClientLedger(BOUNDS)
        stopped, slow, fast = fill(ledger)
        for second in range(1, 6):
            slow.note_received(2000, float(second))
            fast.note_received(3000, float(second))
        newcomer = add(ledger, "new", 5.0)
        admission = send(ledger, newcomer, LARGE, 1000, 5.0, True)
        assert admission.displaced == (stopped,)

    def test_small_requests_displace_even_those_that_make_progress(self):
        """Guards against a crowd of small requests that keeps ordinary ones out."""
        ledger = ClientLedger(BOUNDS._replace(held_bytes=5 * SMALL))
        crowd = [add(ledger, n) for n in range(5)]
        for client in crowd:
            assert send(ledger, client, SMALL, 5000).is_admitted
        admission = send(ledger, add(ledger, "new", 0.5), SMALL, SMALL, 0.5)
        assert admission.is_admitted
        # One makes room for the request, and one for those that follow.
        assert len(admission.displaced) == 2

    def test_one_large_request_is_served_whatever_the_bound(self):
        """Guards against a VM on which no legal request of the largest size runs."""
        ledger = ClientLedger(BOUNDS._replace(held_bytes=1000))
        assert send(ledger, add(ledger, "a"), LARGE, 1000, 0.0, True).is_admitted
        assert not send(ledger, add(ledger, "b"), LARGE, 1000, 0.0, True).is_admitted

    def test_a_complete_request_is_never_displaced(self):
        """Guards against a refusal of a request that may have run."""
        ledger = ClientLedger(BOUNDS)
        clients = fill(ledger)
        for client in clients:
            ledger.complete(client)
        newcomer = add(ledger, "new", 60.0)
        assert not send(ledger, newcomer, LARGE, 1000, 60.0, True).is_admitted

    def test_memory_is_counted_until_the_answer(self):
        """Guards against requests that wait for the store and count for nothing."""
        ledger = ClientLedger(BOUNDS)
        client = add(ledger, "a")
        send(ledger, client, LARGE, LARGE, 0.0, True)
        ledger.complete(client)
        ledger.close(client)
        assert ledger.held_bytes == LARGE
        ledger.answer(client, 1.0)
        assert ledger.held_bytes == 0

    def test_a_connection_with_a_request_without_end_frees_its_answered_ones(self):
        """Guards against memory that is counted for good on one connection."""
        ledger = ClientLedger(BOUNDS)
        client = add(ledger, "a")
        for _ in range(3):
            send(ledger, client, SMALL, SMALL)
            ledger.complete(client)
            send(ledger, client, 10, 10)
            ledger.answer(client, 1.0)
        assert ledger.held_bytes == 10


class TestConnections:
    def test_stalled_requests_give_way_first(self):
        """Guards against idle connections of callers that a crowd displaces."""
        ledger = ClientLedger(BOUNDS)
        idle = [add(ledger, n, 0.0, f"idle-{n}") for n in range(7)]
        stalled = add(ledger, "stalled", 1.0, "crowd")
        send(ledger, stalled, 100, 100, 1.0)
        admission = ledger.open(Client("new", "b", 9.0), 9.0)
        assert admission.displaced == (stalled,)
        assert ledger.n_connections == len(idle) + 1

    def test_connections_that_were_never_used_give_way_before_used_ones(self):
        """Guards against callers that lose their connection to a crowd of idle ones."""
        ledger = ClientLedger(BOUNDS)
        used = add(ledger, "used", 0.0, "b")
        ledger.begin(used, 0.0)
        ledger.complete(used)
        ledger.answer(used, 0.0)
        unused = [add(ledger, n, float(n), f"a-{n}") for n in range(7)]
        admission = ledger.open(Client("new", "c", 9.0), 9.0)
        assert admission.displaced == (unused[0],)

    def test_a_connection_in_use_gives_way_last(self):
        """Guards against callers that lose their connection between two requests."""
        ledger = ClientLedger(BOUNDS)
        used = add(ledger, "used", 0.0, "b")
        ledger.begin(used, 8.0)
        ledger.complete(used)
        ledger.answer(used, 8.0)
        crowd = [add(ledger, n, 8.9, f"a-{n}") for n in range(7)]
        for client in crowd:
            send(ledger, client, 10, 10, 8.9)
        admission = ledger.open(Client("new", "c", 9.0), 9.0)
        assert used not in admission.displaced

    def test_an_address_over_its_part_gives_way_to_others(self):
        """Guards against one address that takes the connections of all."""
        ledger = ClientLedger(BOUNDS)
        for number in range(6):
            add(ledger, number, 5.0, "crowd")
        other = [add(ledger, n, 0.0, f"b-{n}") for n in range(2)]
        admission = ledger.open(Client("new", "c", 9.0), 9.0)
        assert admission.is_admitted
        assert not set(admission.displaced) & set(other)

    def test_an_address_replaces_its_own_connections_beyond_its_part(self):
        """Guards against a bound for each address that is not kept."""
        ledger = ClientLedger(BOUNDS)
        crowd = [add(ledger, n, float(n), "crowd") for n in range(6)]
        admission = ledger.open(Client("new", "crowd", 9.0), 9.0)
        assert admission.displaced == (crowd[0],)

    def test_a_connection_is_refused_if_all_are_being_answered(self):
        """Guards against a connection that ends while its request runs."""
        ledger = ClientLedger(BOUNDS)
        for number in range(8):
            client = add(ledger, number, 0.0, f"a-{number}")
            ledger.begin(client, 0.0)
            ledger.complete(client)
        assert not ledger.open(Client("new", "b", 9.0), 9.0).is_admitted


class TestAnswersThatWait:
    """All connections have requests that are being answered."""

    def fill(self, n_requests):
        ledger = ClientLedger(BOUNDS)
        clients = [add(ledger, f"c{n}", address=f"{n}") for n in range(8)]
        for client in clients:
            for _ in range(n_requests):
                ledger.complete(client)
        return ledger, clients

    def test_a_request_that_is_being_answered_is_not_broken_off(self):
        """Guards against an ordinary caller that loses its answer to a newcomer."""
        ledger, clients = self.fill(n_requests=1)
        assert not ledger.open(Client("new", "n", 5.0), 5.0).is_admitted
        assert ledger.n_connections == len(clients)

    def test_a_client_that_leaves_its_answers_gives_way(self):
        """Guards against connections that are never closed, as an answer waits."""
        ledger, clients = self.fill(n_requests=1)
        clients[3].unread_at = 2.0
        assert ledger.open(Client("new", "n", 5.0), 5.0).displaced == (clients[3],)

    def test_one_that_takes_its_answers_slowly_stays_for_a_while(self):
        """Guards against a caller on a slow link that is closed at once."""
        ledger, clients = self.fill(n_requests=1)
        clients[3].unread_at = 4.5
        assert not ledger.open(Client("new", "n", 5.0), 5.0).is_admitted

    def test_a_client_that_fills_its_queue_gives_way(self):
        """Guards against pipelined requests that keep all others out."""
        ledger, clients = self.fill(n_requests=1)
        for _ in range(MAX_PIPELINED):
            ledger.complete(clients[5])
        assert ledger.open(Client("new", "n", 5.0), 5.0).displaced == (clients[5],)
