"""Ports of processes that tests start."""

import socket

from figford.tools import deployment


def test_a_port_in_use_on_another_loopback_address_is_not_free(
    monkeypatch,
) -> None:
    """Tests that ran beside each other started processes on one port."""
    with socket.socket() as other:
        other.bind(("127.0.0.13", 0))
        other.listen()
        port = other.getsockname()[1]
        monkeypatch.setattr(deployment, "PORT_RANGE", (port, port + 40))
        assert port not in deployment.free_ports(40)
