"""Allocation of ports for the daemons of a stand-in fleet."""

import socket

from tanagerbend_standins import fleet

OTHER_ADDRESS = '127.0.1.9'


def test_port_in_use_at_another_address_is_not_free():
    """Guards against two test runs that allocate the same port."""
    (port,) = fleet.free_ports(1)
    with socket.create_server((OTHER_ADDRESS, port)):
        assert not fleet._is_free(port)
    assert fleet._is_free(port)
