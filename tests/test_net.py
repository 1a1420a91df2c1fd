"""What connections over TCP raise, which the network in memory imitates."""

import socket

import pytest
import trio

from coltsfootsail import _embedded
from coltsfootsail import _net


def test_refused_connection_is_told_from_other_failures():
    address = _embedded.loopback_addresses(["nobody"])["nobody"]
    with pytest.raises(ConnectionRefusedError):
        trio.run(_net.tcp_network().open_stream, address)


def test_connection_that_is_not_accepted_in_time_times_out():
    async def main(address):
        await _net.tcp_network(connect_timeout_s=0.05).open_stream(address)

    with socket.socket() as listener:
        address = _embedded.loopback_addresses(["full"])["full"]
        listener.bind(_net.split_address(address))
        listener.listen(0)
        with (
            socket.create_connection(_net.split_address(address)),
            pytest.raises(TimeoutError),
        ):
            trio.run(main, address)
