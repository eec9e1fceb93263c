"""Fixtures of the tests of entries."""

import pytest

from .cluster import EntryCluster


@pytest.fixture
def make_cluster():
    clusters = []

    def make(**options):
        clusters.append(EntryCluster(**options))
        return clusters[-1]

    yield make
    for cluster in clusters:
        cluster.stop()
