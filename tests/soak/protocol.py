"""What the callers and servers of a soak send each other."""

import socket
import struct

from coltsfootsail.platform import messages

CONTENT = "x-content"  # header with the id of a request's content
KIND = "x-kind"
CRASHING_PART = "crashes"  # part of a prompt that ends the server's process
LINGER_RESET = struct.pack("ii", 1, 0)  # makes a close reset the connection


def reset(stream):
    """Close a connection with a reset in place of an orderly end."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    stream.socket.close()


def plain_body(content):
    """Get the body that answers a content."""
    return f"done:{content}".encode()


def software(server):
    """Get the version of an engine's software, by the engine's name."""
    return f"v{1 + int(server[1:]) % 2}"


def event(content, number, version):
    """Get one event of the stream that answers a content.

    :param version: of the software of the engine that writes it.
    """
    return f"id: {number}\ndata: {content} {number} {version}\n\n".encode()


def complete_events(body):
    """Get the part of a stream that consists of complete events."""
    return body[: body.rfind(b"\n\n") + 2] if b"\n\n" in body else b""


def stream_versions(body):
    """List the versions of the software that wrote a stream's events."""
    lines = complete_events(body).splitlines()
    versions = {
        line.rpartition(b" ")[2].decode()
        for line in lines
        if line.startswith(b"data: ")
    }
    return tuple(sorted(versions))


def is_whole_stream(body, content, events):
    """Tell whether a body has all events of a content, in order."""
    lines = body.decode("latin-1").split("\n\n")
    expected = [f"id: {n}\ndata: {content} {n} v" for n in range(events)]
    return len(lines) == events + 1 and all(
        line.startswith(start)
        for line, start in zip(lines, [*expected, ""], strict=True)
    )


def echo(req):
    """Get the headers that echo a request's id."""
    return [(messages.REQUEST_ID, req.header(messages.REQUEST_ID))]
